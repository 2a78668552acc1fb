package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors of Pool.Do. One of ErrNotSent and ErrInterrupted is in every error
// that Do returns; the cause is wrapped beside it.
var (
	// ErrNotSent proves that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrInterrupted means that at least one byte may have left and no whole
	// response header arrived: the peer may have run the request.
	ErrInterrupted = errors.New("request interrupted")
	// ErrUndelimited means that the response had neither length nor chunks.
	ErrUndelimited = errors.New("answer without length or chunks")
	// ErrNoRoom means that MaxConnections are open and in use.
	ErrNoRoom = errors.New("no room for another connection")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("connection pool closed")
)

// Defaults of Config.
const (
	DefaultMaxConnections = 100
	DefaultMinWarm        = 2
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 60 * time.Second
	// maintenanceInterval is how often warm connections are checked, and the
	// shortest interval at which unused ones are closed.
	maintenanceInterval = time.Second
)

// Config configures a Pool. Zero fields take the defaults.
type Config struct {
	// Address of the peer, "IP:port".
	Address string
	// MaxConnections bounds open connections: busy, idle and being dialled.
	MaxConnections int
	// MinWarm is how many connections are kept open when nothing is sent.
	// Negative keeps none.
	MinWarm int
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection beyond MinWarm may be unused before
	// it is closed. It must be shorter than the peer's own idle timeout.
	IdleTimeout time.Duration
	// Linger is how long the connection of a cancelled request stays open, closed
	// for writing only, until the peer closes it. A peer that stops running the
	// request when it notices has then done so before the connection counts as
	// closed. Zero closes at once.
	Linger time.Duration
	// IsSurplus reports whether a response, by its header, answers another request than the given one.
	// Such a response is discarded and the next one is read, within bounds (see ErrSurplus). It is called
	// once for each response. Nil takes each response for the answer.
	IsSurplus func(request *http.Request, response *http.Response) bool
	// Dial opens a connection to Address; nil dials TCP.
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

// Stats holds counters of a pool since its creation, and its present size.
type Stats struct {
	// Open counts open connections, Idle the unused ones among them, and Dialling
	// those that are being dialled and are not open yet.
	Open, Idle, Dialling int
	// Waiting counts requests that have no connection yet.
	Waiting int
	// Dials counts started dials, DialFailures those of them that failed.
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
	// maintenance calls maintain; maintenanceScheduled is set while a call is
	// due. A pool without connections and with MinWarm 0 schedules none, because
	// a process may have a pool for each of hundreds of peers.
	maintenance          *time.Timer
	maintenanceScheduled bool
	open                 int
	dialling             int
	waiters              []*waiter // first come, first served
	stats                Stats
}

// waiter is a request that waits for a connection. Exactly one value is sent to
// result, unless the waiter is removed first.
type waiter struct{ result chan acquireResult }

// acquireResult is a connection for a waiter, or the error that it gets.
type acquireResult struct {
	conn *conn
	err  error
}

// New returns a pool and starts to dial its warm connections in the background.
// The caller must Close it.
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
	pool.dialWarm()
	pool.scheduleMaintenance()
	return pool, nil
}

// Close closes idle connections at once and busy ones when their request ends.
// Waiting and later requests fail with ErrClosed.
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
		waiting.result <- acquireResult{err: ErrClosed}
	}
}

// CloseIdle closes the connections that are idle now. Later requests dial new
// ones.
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

// overLimit reports whether there are more connections than MaxConnections. The
// caller holds the mutex.
func (pool *Pool) overLimit() bool {
	return pool.open+pool.dialling > pool.config.MaxConnections
}

// Stats returns the pool's counters and present size.
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

// acquire returns a connection for the caller's exclusive use until release or
// discard. It waits for a free one when MaxConnections are open.
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
		connection.wasIdle = true
		pool.mutex.Unlock()
		return connection, nil
	}
	waiting := &waiter{result: make(chan acquireResult, 1)}
	pool.waiters = append(pool.waiters, waiting)
	pool.dialForWaiters()
	pool.mutex.Unlock()
	return pool.awaitConnection(ctx, waiting)
}

// acquireNew dials a connection for the caller's exclusive use until release or discard. It closes
// the connection that has been idle for longest if MaxConnections are open, and fails with
// ErrNoRoom if none is idle.
func (pool *Pool) acquireNew(ctx context.Context) (*conn, error) {
	if err := pool.reserveDial(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pool.config.DialTimeout)
	defer cancel()
	netConn, err := pool.config.Dial(ctx, pool.config.Address)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialling--
	if err != nil {
		pool.stats.DialFailures++
		pool.dialForWaiters()
		return nil, err
	}
	pool.open++
	return newConn(netConn), nil
}

// reserveDial counts a dial that is about to begin within MaxConnections.
func (pool *Pool) reserveDial() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	switch full := pool.open+pool.dialling >= pool.config.MaxConnections; {
	case pool.closed:
		return ErrClosed
	case full && len(pool.idle) == 0:
		return ErrNoRoom
	case full:
		oldest := pool.idle[0]
		pool.idle = pool.idle[1:]
		pool.open--
		oldest.close()
	}
	pool.dialling++
	pool.stats.Dials++
	return nil
}

// awaitConnection waits for the result of a waiter. When the context ends first,
// a connection that arrives at the same time goes back to the pool.
func (pool *Pool) awaitConnection(ctx context.Context, waiting *waiter) (*conn, error) {
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

// removeWaiter removes a waiter, or returns false if its result was sent already
// or is about to be.
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

// takeIdle removes and returns the most recently used idle connection that is
// healthy, or nil, and closes those that are not. The caller holds the mutex.
func (pool *Pool) takeIdle() *conn {
	for len(pool.idle) > 0 {
		last := len(pool.idle) - 1
		connection := pool.idle[last]
		pool.idle = pool.idle[:last]
		if connection.healthy() {
			return connection
		}
		pool.stats.FoundClosed++
		pool.open--
		connection.close()
	}
	return nil
}

// dialForWaiters starts dials until there are as many as waiters, as far as
// MaxConnections allows. The caller holds the mutex.
func (pool *Pool) dialForWaiters() {
	for pool.dialling < len(pool.waiters) && pool.open+pool.dialling < pool.config.MaxConnections {
		pool.beginDial()
	}
}

// beginDial dials one connection in the background, so that it isn't lost when
// the request that waits for it is cancelled. The caller holds the mutex.
func (pool *Pool) beginDial() {
	pool.dialling++
	pool.stats.Dials++
	go pool.dial()
}

// dial opens a connection and gives it to the first waiter or to the pool.
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

// dialFailed fails the first waiter. The dials for the other waiters go on.
func (pool *Pool) dialFailed(err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialling--
	pool.stats.DialFailures++
	if waiting := pool.nextWaiter(); waiting != nil {
		waiting.result <- acquireResult{err: err}
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

// release returns a connection that can carry another request to the pool.
func (pool *Pool) release(connection *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.overLimit() {
		pool.open--
		connection.close()
		return
	}
	connection.wasIdle = false
	if waiting := pool.nextWaiter(); waiting != nil {
		waiting.result <- acquireResult{conn: connection}
		return
	}
	connection.releaseBuffers()
	connection.idleSince = time.Now()
	pool.idle = append(pool.idle, connection)
	pool.scheduleMaintenance()
}

// discard closes a connection that can't carry another request.
func (pool *Pool) discard(connection *conn) {
	connection.close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.dialForWaiters()
}

// scheduleMaintenance schedules the next call of maintain, unless one is due
// already or there will be nothing to do. The caller holds the mutex.
func (pool *Pool) scheduleMaintenance() {
	if pool.maintenanceScheduled || pool.closed || (pool.config.MinWarm == 0 && len(pool.idle) == 0) {
		return
	}
	wait := maintenanceInterval
	if pool.config.MinWarm == 0 {
		// The first idle connection has been unused for longest.
		wait = max(wait, time.Until(pool.idle[0].idleSince.Add(pool.config.IdleTimeout)))
	}
	pool.maintenanceScheduled = true
	if pool.maintenance == nil {
		pool.maintenance = time.AfterFunc(wait, pool.maintain)
		return
	}
	pool.maintenance.Reset(wait)
}

// maintain keeps MinWarm connections open and closes those beyond that were
// unused for too long.
func (pool *Pool) maintain() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.maintenanceScheduled = false
	pool.closeUnused(time.Now())
	pool.dialWarm()
	pool.scheduleMaintenance()
}

// closeUnused closes idle connections that are not healthy, and those beyond
// MinWarm that were unused for IdleTimeout. The caller holds the mutex.
func (pool *Pool) closeUnused(now time.Time) {
	kept := pool.idle[:0]
	for _, connection := range pool.idle {
		unused := now.Sub(connection.idleSince) >= pool.config.IdleTimeout
		excess := unused && pool.open > pool.config.MinWarm
		healthy := connection.healthy()
		if !healthy {
			pool.stats.FoundClosed++
		}
		if healthy && !excess {
			kept = append(kept, connection)
			continue
		}
		pool.open--
		connection.close()
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// dialWarm starts dials until MinWarm connections are open or being dialled. The
// caller holds the mutex.
func (pool *Pool) dialWarm() {
	wanted := min(pool.config.MinWarm, pool.config.MaxConnections)
	for !pool.closed && pool.open+pool.dialling < wanted {
		pool.beginDial()
	}
}
