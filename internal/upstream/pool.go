package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Errors of Pool.Do. One of ErrNotSent and ErrInterrupted is in every error
// that Do returns; the cause is wrapped beside it.
var (
	// ErrNotSent is proof that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrInterrupted says that at least one byte may have left and no whole
	// answer header arrived: the peer may have run the request.
	ErrInterrupted = errors.New("request interrupted")
	// ErrUndelimited says that the answer had neither length nor chunks.
	ErrUndelimited = errors.New("answer without length or chunks")
	// ErrClosed says that the pool was closed.
	ErrClosed = errors.New("connection pool closed")
)

// Defaults of Config.
const (
	DefaultMaxConnections = 100
	DefaultMinWarm        = 2
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 60 * time.Second
	// maintenanceInterval is how often connections are examined that are kept open,
	// and at most how often unused ones are closed.
	maintenanceInterval = time.Second
)

// Config of a Pool. Zero fields take the defaults.
type Config struct {
	// Address of the peer, "IP:port".
	Address string
	// MaxConnections bounds open connections, busy, idle and being dialled.
	MaxConnections int
	// MinWarm is how many connections are kept open when nothing is sent.
	// Negative keeps none.
	MinWarm int
	// DialTimeout bounds the making of one connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections beyond MinWarm that were unused for so
	// long. It must be shorter than the peer's own idle timeout.
	IdleTimeout time.Duration
	// Linger is for how long the connection of a request that was given up stays
	// open, closed for writing only, until the peer closes it. A peer that stops
	// the run then has done so before the connection counts as closed. Zero
	// closes at once.
	Linger time.Duration
	// Dial makes a connection to Address; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (config Config) withDefaults() Config {
	if config.MaxConnections == 0 {
		config.MaxConnections = DefaultMaxConnections
	}
	if config.MinWarm == 0 {
		config.MinWarm = DefaultMinWarm
	}
	config.MinWarm = min(max(config.MinWarm, 0), config.MaxConnections)
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	return config
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Stats are counts of a pool since it was made, and its present size.
type Stats struct {
	// Open connections, of which Idle are unused; Dialling are being made.
	Open, Idle, Dialling int
	// Waiting requests have no connection yet.
	Waiting int
	// Dials begun, and those of them that failed.
	Dials, DialFailures uint64
	// Reused counts requests sent on a connection that had carried another.
	Reused uint64
	// FoundClosed counts idle connections that the peer had closed, found
	// before a request was written to them.
	FoundClosed uint64
}

// Pool holds the connections to one peer. Its methods may be called from any
// goroutine.
type Pool struct {
	config Config

	mutex  sync.Mutex
	closed bool
	idle   []*conn // the last one was used most recently
	// maintenance runs when connections are to be examined; planned says that it
	// will. Without connections it never runs: a process may have a pool for each of
	// hundreds of peers.
	maintenance *time.Timer
	planned     bool
	open        int
	dialling    int
	waiters     []*waiter // first come, first served
	stats       Stats
}

// waiter is a request without a connection; result takes one value.
type waiter struct{ result chan dialled }

type dialled struct {
	conn *conn
	err  error
}

// New returns a pool and begins to make its warm connections in the
// background. Close ends it.
func New(config Config) (*Pool, error) {
	if config.Address == "" {
		return nil, errors.New("upstream: no address")
	}
	if config.MaxConnections < 0 {
		return nil, fmt.Errorf("upstream: MaxConnections %d is negative", config.MaxConnections)
	}
	pool := &Pool{config: config.withDefaults()}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.topUp()
	pool.planMaintenance()
	return pool, nil
}

// Close closes idle connections, and busy ones when their request ends.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	if pool.closed {
		pool.mutex.Unlock()
		return
	}
	pool.closed = true
	idle, waiters := pool.idle, pool.waiters
	pool.idle, pool.waiters = nil, nil
	pool.open -= len(idle)
	if pool.maintenance != nil {
		pool.maintenance.Stop()
	}
	pool.mutex.Unlock()
	for _, connection := range idle {
		connection.close()
	}
	for _, waiting := range waiters {
		waiting.result <- dialled{err: ErrClosed}
	}
}

// CloseIdle closes the connections that carry no request now. Later requests
// make new ones.
func (pool *Pool) CloseIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, connection := range pool.idle {
		connection.close()
	}
	pool.open -= len(pool.idle)
	pool.idle = nil
	pool.dialForWaiters()
}

// SetMaxConnections changes Config.MaxConnections; busy connections beyond a
// lower limit are closed as their requests end.
func (pool *Pool) SetMaxConnections(limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.config.MaxConnections = max(limit, 1)
	for pool.overLimit() && len(pool.idle) > 0 {
		oldest := pool.idle[0]
		pool.idle = pool.idle[1:]
		pool.open--
		oldest.close()
	}
	pool.dialForWaiters()
}

// overLimit says that a connection must be closed. The caller holds the mutex.
func (pool *Pool) overLimit() bool {
	return pool.open+pool.dialling > pool.config.MaxConnections
}

// Stats returns the pool's counts.
func (pool *Pool) Stats() Stats {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	stats := pool.stats
	stats.Open = pool.open
	stats.Idle = len(pool.idle)
	stats.Dialling = pool.dialling
	stats.Waiting = len(pool.waiters)
	return stats
}

// acquire returns a connection that the caller alone may use until release.
// It waits for one to become free when MaxConnections are open.
func (pool *Pool) acquire(ctx context.Context) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	pool.mutex.Lock()
	if pool.closed {
		pool.mutex.Unlock()
		return nil, ErrClosed
	}
	if connection := pool.takeIdle(); connection != nil {
		pool.stats.Reused++
		connection.rested = true
		pool.mutex.Unlock()
		return connection, nil
	}
	waiting := &waiter{result: make(chan dialled, 1)}
	pool.waiters = append(pool.waiters, waiting)
	pool.dialForWaiters()
	pool.mutex.Unlock()
	return pool.wait(ctx, waiting)
}

func (pool *Pool) wait(ctx context.Context, waiting *waiter) (*conn, error) {
	select {
	case result := <-waiting.result:
		return result.conn, result.err
	case <-ctx.Done():
	}
	if pool.removeWaiter(waiting) {
		return nil, context.Cause(ctx)
	}
	if result := <-waiting.result; result.conn != nil {
		pool.release(result.conn)
	}
	return nil, context.Cause(ctx)
}

// removeWaiter returns false when a result is already on its way.
func (pool *Pool) removeWaiter(waiting *waiter) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for i, other := range pool.waiters {
		if other == waiting {
			pool.waiters = append(pool.waiters[:i], pool.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// takeIdle returns the most recently used idle connection that the peer has
// not closed, or nil. The caller holds the mutex.
func (pool *Pool) takeIdle() *conn {
	for len(pool.idle) > 0 {
		last := len(pool.idle) - 1
		connection := pool.idle[last]
		pool.idle = pool.idle[:last]
		if connection.quiet() {
			return connection
		}
		pool.stats.FoundClosed++
		pool.open--
		connection.close()
	}
	return nil
}

// dialForWaiters begins a dial for each waiter that has none coming, as far
// as MaxConnections allows. The caller holds the mutex.
func (pool *Pool) dialForWaiters() {
	for pool.dialling < len(pool.waiters) && pool.open+pool.dialling < pool.config.MaxConnections {
		pool.beginDial()
	}
}

// beginDial makes one connection in the background: a request that gives up
// while it is made doesn't waste it. The caller holds the mutex.
func (pool *Pool) beginDial() {
	pool.dialling++
	pool.stats.Dials++
	go pool.dial()
}

func (pool *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), pool.config.DialTimeout)
	defer cancel()
	netConn, err := pool.config.Dial(ctx, pool.config.Address)
	if err != nil {
		pool.dialFailed(err)
		return
	}
	connection := newConn(netConn)
	pool.mutex.Lock()
	pool.dialling--
	pool.open++
	pool.mutex.Unlock()
	pool.release(connection)
}

// dialFailed tells the first waiter; the others' own dials go on.
func (pool *Pool) dialFailed(err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialling--
	pool.stats.DialFailures++
	if waiting := pool.nextWaiter(); waiting != nil {
		waiting.result <- dialled{err: err}
	}
	pool.dialForWaiters()
}

// nextWaiter removes and returns the first waiter, or nil. The caller holds
// the mutex.
func (pool *Pool) nextWaiter() *waiter {
	if len(pool.waiters) == 0 {
		return nil
	}
	first := pool.waiters[0]
	pool.waiters = pool.waiters[1:]
	return first
}

// release gives back a connection that can carry another request.
func (pool *Pool) release(connection *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.overLimit() {
		pool.open--
		connection.close()
		return
	}
	connection.rested = false
	if waiting := pool.nextWaiter(); waiting != nil {
		waiting.result <- dialled{conn: connection}
		return
	}
	connection.rest()
	connection.idleSince = time.Now()
	pool.idle = append(pool.idle, connection)
	pool.planMaintenance()
}

// discard closes a connection that can't carry another request.
func (pool *Pool) discard(connection *conn) {
	connection.close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.dialForWaiters()
}

// planMaintenance makes maintain run when there will be something to do, unless it
// is planned already. The caller holds the mutex.
func (pool *Pool) planMaintenance() {
	if pool.planned || pool.closed || (pool.config.MinWarm == 0 && len(pool.idle) == 0) {
		return
	}
	wait := maintenanceInterval
	if pool.config.MinWarm == 0 {
		// The first of the idle ones has been unused for longest.
		wait = max(wait, time.Until(pool.idle[0].idleSince.Add(pool.config.IdleTimeout)))
	}
	pool.planned = true
	if pool.maintenance == nil {
		pool.maintenance = time.AfterFunc(wait, pool.maintain)
		return
	}
	pool.maintenance.Reset(wait)
}

// maintain keeps MinWarm connections open and closes idle ones beyond them.
func (pool *Pool) maintain() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.planned = false
	pool.closeUnused(time.Now())
	pool.topUp()
	pool.planMaintenance()
}

// closeUnused closes idle connections that the peer closed, and those beyond
// MinWarm that were unused for IdleTimeout. The caller holds the mutex.
func (pool *Pool) closeUnused(now time.Time) {
	kept := pool.idle[:0]
	for _, connection := range pool.idle {
		unused := now.Sub(connection.idleSince) >= pool.config.IdleTimeout
		excess := unused && pool.open > pool.config.MinWarm
		quiet := connection.quiet()
		if !quiet {
			pool.stats.FoundClosed++
		}
		if quiet && !excess {
			kept = append(kept, connection)
			continue
		}
		pool.open--
		connection.close()
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// topUp begins to make the connections that MinWarm lacks. The caller holds the
// mutex.
func (pool *Pool) topUp() {
	warm := min(pool.config.MinWarm, pool.config.MaxConnections)
	for !pool.closed && pool.open+pool.dialling < warm {
		pool.beginDial()
	}
}
