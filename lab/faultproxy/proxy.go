// Package faultproxy is a TCP proxy that injects faults between processes of the
// product in tests: delay, loss of one direction, a silent black hole, resets,
// truncation and stalls. A seed makes random faults reproducible. The proxy is
// controlled by method calls or by JSON over HTTP.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Config configures a proxy.
type Config struct {
	// Name identifies the proxy in the control API.
	Name string
	// Listen and Target are "IP:port".
	Listen string
	Target string
	// Seed seeds random faults.
	Seed uint64
	// Source returns the name of the process that opened a connection, so that
	// faults can be set for one source only. If it is nil, all connections have
	// an empty source. It is called at most once per connection, and only while
	// faults are set for any source.
	Source func(net.Conn) string
}

// Proxy forwards connections to one target.
type Proxy struct {
	config     Config
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mutex    sync.Mutex
	random   *rand.Rand
	faults   Faults
	bySource map[string]Faults
	changed  chan struct{}
	counters Counters
}

// Counters counts connections, bytes and faults since the start of a proxy.
type Counters struct {
	Connections   int   `json:"connections"`
	Refused       int   `json:"refused"`
	BytesForward  int64 `json:"bytes_forward"`
	BytesBackward int64 `json:"bytes_backward"`
	BytesDropped  int64 `json:"bytes_dropped"`
	Truncated     int   `json:"truncated"`
	Reset         int   `json:"reset"`
}

// Listen starts a proxy.
func Listen(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("fault proxy %s: %w", config.Name, err)
	}
	if config.Source == nil {
		config.Source = func(net.Conn) string { return "" }
	}
	ctx, stop := context.WithCancel(context.Background())
	proxy := &Proxy{
		config:   config,
		listener: listener,
		ctx:      ctx,
		stop:     stop,
		random:   rand.New(rand.NewPCG(config.Seed, 3)),
		bySource: make(map[string]Faults),
		changed:  make(chan struct{}),
	}
	proxy.goroutines.Go(proxy.accept)
	return proxy, nil
}

// Name returns the name that identifies the proxy in the control API.
func (p *Proxy) Name() string { return p.config.Name }

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults of all sources without faults of their own. It also
// affects open connections.
func (p *Proxy) Set(faults Faults) error {
	return p.replaceFaults(faults, func() { p.faults = faults })
}

// SetFor replaces the faults of one source.
func (p *Proxy) SetFor(source string, faults Faults) error {
	return p.replaceFaults(faults, func() {
		// currentFaults reads the map without the mutex, so replace it instead of
		// writing to it.
		p.bySource = maps.Clone(p.bySource)
		p.bySource[source] = faults
	})
}

// Heal removes all faults.
func (p *Proxy) Heal() {
	p.replaceFaults(Faults{}, func() {
		p.faults = Faults{}
		p.bySource = make(map[string]Faults)
	})
}

func (p *Proxy) replaceFaults(faults Faults, replace func()) error {
	if err := errors.Join(faults.Forward.validate("forward"), faults.Backward.validate("backward")); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replace()
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Run sets the faults of each step of a script at its time and returns after the
// last step.
func (p *Proxy) Run(ctx context.Context, script []Step) error {
	start := time.Now()
	for _, step := range script {
		if err := pause.For(ctx, time.Until(start.Add(time.Duration(step.At)))); err != nil {
			return err
		}
		if err := p.Set(step.Faults); err != nil {
			return err
		}
	}
	return nil
}

// Counters returns the current counters.
func (p *Proxy) Counters() Counters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counters
}

// Close closes all connections, stops the proxy and waits for its goroutines.
func (p *Proxy) Close() error {
	p.stop()
	err := p.listener.Close()
	p.goroutines.Wait()
	return err
}

// currentFaults returns the faults in effect for a connection from source and a
// channel that is closed when any faults of the proxy are replaced.
func (p *Proxy) currentFaults(source func() string) (Faults, <-chan struct{}) {
	p.mutex.Lock()
	all, bySource, changed := p.faults, p.bySource, p.changed
	p.mutex.Unlock()
	if len(bySource) > 0 {
		if faults, found := bySource[source()]; found {
			return faults, changed
		}
	}
	return all, changed
}

func (p *Proxy) updateCounters(change func(*Counters)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.counters)
}

func (p *Proxy) randomFloat() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.Float64()
}

func (p *Proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(connection.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	source := sync.OnceValue(func() string { return p.config.Source(client) })
	faults, _ := p.currentFaults(source)
	p.updateCounters(func(c *Counters) { c.Connections++ })
	if faults.RefuseNew {
		p.updateCounters(func(c *Counters) { c.Refused++ })
		reset(client)
		return
	}
	if faults.SwallowNew {
		p.discard(client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(p.ctx, "tcp", p.config.Target)
	if err != nil {
		reset(client)
		return
	}
	newProxiedConnection(p, source, client, server.(*net.TCPConn)).run()
}

// discard discards all data until the client closes the connection or the proxy
// stops.
func (p *Proxy) discard(connection *net.TCPConn) {
	defer connection.Close()
	stopped := context.AfterFunc(p.ctx, func() { connection.Close() })
	defer stopped()
	buffer := make([]byte, chunkBytes)
	for {
		count, err := connection.Read(buffer)
		p.updateCounters(func(c *Counters) { c.BytesDropped += int64(count) })
		if err != nil {
			return
		}
	}
}

// reset closes a connection with RST instead of FIN.
func reset(connection *net.TCPConn) {
	connection.SetLinger(0)
	connection.Close()
}
