// Package faultproxy is a TCP proxy that injects faults: delay, loss of one
// direction, a silent black hole, resets, truncation and late delivery. It is
// seeded, so that random faults repeat, and controlled by calls or by JSON over
// HTTP. It stands between processes of the product in tests.
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

// Config of a proxy.
type Config struct {
	// Name by which the control interface knows the proxy.
	Name string
	// Listen and Target are "IP:port".
	Listen string
	Target string
	// Seed of random faults.
	Seed uint64
	// Source names the process that opened a connection, so that faults can be
	// set for one source only; nil names none. It is asked once for each
	// connection, and only while faults of a source are set.
	Source func(net.Conn) string
}

// Proxy passes connections on to one target.
type Proxy struct {
	config   Config
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	links    sync.WaitGroup

	mutex    sync.Mutex
	random   *rand.Rand
	faults   Faults
	bySource map[string]Faults
	changed  chan struct{}
	counters Counters
}

// Counters count what a proxy did since its start.
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
	proxy.links.Go(proxy.accept)
	return proxy, nil
}

// Name returns the name by which the control interface knows the proxy.
func (p *Proxy) Name() string { return p.config.Name }

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults of all sources that have none of their own. They act
// on open connections too.
func (p *Proxy) Set(faults Faults) error {
	return p.change(faults, func() { p.faults = faults })
}

// SetFor replaces the faults of one source.
func (p *Proxy) SetFor(source string, faults Faults) error {
	return p.change(faults, func() {
		// Others read the map without the mutex, so it is never written to.
		p.bySource = maps.Clone(p.bySource)
		p.bySource[source] = faults
	})
}

// Heal removes all faults.
func (p *Proxy) Heal() {
	p.change(Faults{}, func() {
		p.faults = Faults{}
		p.bySource = make(map[string]Faults)
	})
}

func (p *Proxy) change(faults Faults, replace func()) error {
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

// Run sets the faults of a script at their times and returns after the last.
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

// Counters returns what the proxy did so far.
func (p *Proxy) Counters() Counters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counters
}

// Close ends all connections and the proxy.
func (p *Proxy) Close() error {
	p.stop()
	err := p.listener.Close()
	p.links.Wait()
	return err
}

// current returns the faults in force for a connection and a channel that
// closes when any are replaced.
func (p *Proxy) current(source func() string) (Faults, <-chan struct{}) {
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

func (p *Proxy) count(change func(*Counters)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.counters)
}

func (p *Proxy) draw() float64 {
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
		p.links.Go(func() { p.serve(connection.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(near *net.TCPConn) {
	source := sync.OnceValue(func() string { return p.config.Source(near) })
	faults, _ := p.current(source)
	p.count(func(c *Counters) { c.Connections++ })
	if faults.RefuseNew {
		p.count(func(c *Counters) { c.Refused++ })
		reset(near)
		return
	}
	if faults.SwallowNew {
		p.swallow(near)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(p.ctx, "tcp", p.config.Target)
	if err != nil {
		reset(near)
		return
	}
	newLink(p, source, near, far.(*net.TCPConn)).run()
}

// swallow reads and loses everything until the other side or the proxy ends.
func (p *Proxy) swallow(connection *net.TCPConn) {
	defer connection.Close()
	stopped := context.AfterFunc(p.ctx, func() { connection.Close() })
	defer stopped()
	buffer := make([]byte, pieceBytes)
	for {
		count, err := connection.Read(buffer)
		p.count(func(c *Counters) { c.BytesDropped += int64(count) })
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
