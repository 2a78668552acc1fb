package httpserver

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Pipelining says how a server treats requests that a caller sends before earlier ones
// of the same connection are answered (RFC 9112, section 9.3.2). Zero values take the
// defaults.
type Pipelining struct {
	// Requests is how many of one connection are in progress at once.
	Requests int
	// ReadAhead is how many bytes of requests that have not begun are read of one
	// connection. What is beyond stays with the caller. An end of the connection is
	// noticed only behind what was read.
	ReadAhead int
	// AnswersKept is how many bytes of answers are kept for one connection until it is
	// their turn. A handler that has more to write waits.
	AnswersKept int
	// WriteStall is how long a caller may take nothing of an answer; its connection is
	// closed then.
	WriteStall time.Duration
	// Repeatable says whether a request may run beside others of its connection. An
	// answer may close the connection, and callers take what they sent behind it as not
	// read and send it again. Nil is never.
	Repeatable func(*http.Request) bool
	// Observer is told what happens; nil is nobody.
	Observer PipelineObserver
}

// Defaults of Pipelining.
const (
	// DefaultPipelinedRequests lets a caller use one connection as it would use as many
	// as a browser opens to all hosts of a page.
	DefaultPipelinedRequests = 32
	// DefaultReadAhead is about 200 requests without a body.
	DefaultReadAhead = 64 << 10
	// DefaultAnswersKept is a dozen answers of usual size.
	DefaultAnswersKept = 64 << 10
	// DefaultWriteStall is how long a mobile caller may be out of reach and still get the
	// rest.
	DefaultWriteStall = 10 * time.Second
)

func (p Pipelining) withDefaults() Pipelining {
	p.Requests = cmp.Or(p.Requests, DefaultPipelinedRequests)
	p.ReadAhead = cmp.Or(p.ReadAhead, DefaultReadAhead)
	p.AnswersKept = cmp.Or(p.AnswersKept, DefaultAnswersKept)
	p.WriteStall = cmp.Or(p.WriteStall, DefaultWriteStall)
	if p.Repeatable == nil {
		p.Repeatable = func(*http.Request) bool { return false }
	}
	if p.Observer == nil {
		p.Observer = noObserver{}
	}
	return p
}

// PipelineObserver is told what happens on pipelined connections. It must not block.
type PipelineObserver interface {
	// Begun tells of a request that begins while others of its connection, all before it,
	// are unanswered.
	Begun(request *http.Request, before int)
	// Waited tells of an answer that was ready for a time before its turn came, and of
	// the request whose answer went just before it.
	Waited(request, behind *http.Request, wait time.Duration)
	// Stalled tells of a connection that was closed because its caller took nothing of an
	// answer.
	Stalled(remote net.Addr, unanswered int)
}

type noObserver struct{}

func (noObserver) Begun(*http.Request, int)                           {}
func (noObserver) Waited(*http.Request, *http.Request, time.Duration) {}
func (noObserver) Stalled(net.Addr, int)                              {}

// exchangeKey finds the exchange in the context of a request.
type exchangeKey struct{}

func exchangeOf(ctx context.Context) *exchange {
	found, _ := ctx.Value(exchangeKey{}).(*exchange)
	return found
}

// AwaitTurn returns once an answer written now goes to the caller and is not kept for its
// turn, or when the context ends. Handlers call it before they take something that others
// wait for, as a share of the link.
func AwaitTurn(ctx context.Context) {
	if found := exchangeOf(ctx); found != nil {
		found.awaitTurn(ctx)
	}
}

// MayRunBeside says that a request may be in progress beside others of its connection, as
// Pipelining.Repeatable has decided when it was read.
func MayRunBeside(r *http.Request) bool {
	found := exchangeOf(r.Context())
	return found != nil && found.repeatable
}

// EndConnection asks the caller to leave the connection with this answer, unless requests
// that were sent behind this one have been read already: they are answered first. It is
// called before the header is written.
func EndConnection(w http.ResponseWriter, r *http.Request) {
	if found := exchangeOf(r.Context()); found != nil && !found.endConnection() {
		return
	}
	w.Header().Set("Connection", "close")
}

// pipelines are the connections of a server that takes pipelined requests.
type pipelines struct {
	settings Pipelining
	http     *http.Server
	// exchanges go to http.Server as connections.
	exchanges exchangeListener

	mutex sync.Mutex
	open  map[*pipeline]struct{}
}

func newPipelines(server *http.Server, settings Pipelining, address net.Addr) *pipelines {
	return &pipelines{
		settings:  settings.withDefaults(),
		http:      server,
		exchanges: exchangeListener{address: address, next: make(chan *exchange), closed: make(chan struct{})},
		open:      map[*pipeline]struct{}{},
	}
}

// serve takes connections of a listener until it is closed, and returns its error.
func (s *pipelines) serve(listener net.Listener) error {
	go func() { _ = s.http.Serve(&s.exchanges) }()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		p := newPipeline(s, connection.(*trackedConnection))
		s.mutex.Lock()
		s.open[p] = struct{}{}
		s.mutex.Unlock()
		go p.run()
	}
}

func (s *pipelines) remove(p *pipeline) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, p)
}

// each calls a function for every open connection.
func (s *pipelines) each(call func(*pipeline)) {
	s.mutex.Lock()
	all := make([]*pipeline, 0, len(s.open))
	for p := range s.open {
		all = append(all, p)
	}
	s.mutex.Unlock()
	for _, p := range all {
		call(p)
	}
}

// retireIdle ends connections without a request and returns whether there is something to
// wait for: requests in progress, or a connection that is being ended.
func (s *pipelines) retireIdle() (left bool) {
	s.each(func(p *pipeline) { left = p.retire() || left })
	return left
}

// count counts connections that are new or idle, and the requests
// in progress on active ones.
func (s *pipelines) count(state http.ConnState) (count int) {
	s.each(func(p *pipeline) {
		unanswered := p.unanswered()
		if state == http.StateActive {
			count += unanswered
		} else if unanswered == 0 && state == p.restState() {
			count++
		}
	})
	return count
}

// close closes all connections, with the requests that they carry.
func (s *pipelines) close() {
	s.each(func(p *pipeline) { p.abort() })
	s.exchanges.close()
}

// exchangeListener hands exchanges to http.Server.
type exchangeListener struct {
	address net.Addr
	next    chan *exchange
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *exchangeListener) Accept() (net.Conn, error) {
	select {
	case next := <-l.next:
		return next, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// begin hands an exchange over. After the close it ends at once.
func (l *exchangeListener) begin(e *exchange) {
	select {
	case l.next <- e:
	case <-l.closed:
		_ = e.Close()
	}
}

func (l *exchangeListener) close() { l.once.Do(func() { close(l.closed) }) }

// Close implements net.Listener. Exchanges that have begun go on.
func (l *exchangeListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *exchangeListener) Addr() net.Addr { return l.address }
