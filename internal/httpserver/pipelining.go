package httpserver

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Pipelining configures how a server handles requests that a client sends before it
// has received the responses to earlier ones on the same connection (RFC 9112,
// section 9.3.2). Zero values take the defaults.
type Pipelining struct {
	// Requests is the maximum number of requests in progress per connection.
	Requests int
	// ReadAhead is the maximum number of bytes per connection that are read of
	// requests that have not started. The rest stays in the kernel or with the client.
	// The end of a connection is noticed only after everything before it was read.
	ReadAhead int
	// OutputBuffer is the maximum number of bytes per connection that are buffered of
	// responses whose turn has not come. A handler that writes more blocks.
	OutputBuffer int
	// WriteStall is the time in which a client must accept the next part of a response,
	// of up to 32 KiB (writeChunkSize). If it doesn't, its connection is closed.
	WriteStall time.Duration
	// Repeatable reports whether a request may run concurrently with others of its
	// connection. Any response may close the connection, and clients then take the
	// requests behind it as not read and send them again. Nil means that none may.
	Repeatable func(*http.Request) bool
	// Observer is notified of events; nil means none.
	Observer PipelineObserver
}

// Defaults of Pipelining.
const (
	// DefaultPipelinedRequests is about the number of connections that a browser opens
	// to all hosts of a page, so that one connection can replace them.
	DefaultPipelinedRequests = 32
	// DefaultReadAhead holds about 200 requests without a body.
	DefaultReadAhead = 64 << 10
	// DefaultOutputBuffer holds about a dozen responses of usual size.
	DefaultOutputBuffer = 64 << 10
	// DefaultWriteStall is how long a mobile client may be unreachable and still
	// receive the rest of a response.
	DefaultWriteStall = 10 * time.Second
)

func (p Pipelining) withDefaults() Pipelining {
	p.Requests = cmp.Or(p.Requests, DefaultPipelinedRequests)
	p.ReadAhead = cmp.Or(p.ReadAhead, DefaultReadAhead)
	p.OutputBuffer = cmp.Or(p.OutputBuffer, DefaultOutputBuffer)
	p.WriteStall = cmp.Or(p.WriteStall, DefaultWriteStall)
	if p.Repeatable == nil {
		p.Repeatable = func(*http.Request) bool { return false }
	}
	if p.Observer == nil {
		p.Observer = nopObserver{}
	}
	return p
}

// PipelineObserver is notified of events on pipelined connections. Its methods must
// not block.
type PipelineObserver interface {
	// Begun is called when a request starts while a number of earlier requests on its
	// connection are unanswered.
	Begun(request *http.Request, before int)
	// Waited is called when a response that was ready for some time gets its turn.
	// behind is the request whose response was sent just before it.
	Waited(request, behind *http.Request, wait time.Duration)
	// Stalled is called when a connection is closed because its client didn't accept a
	// part of a response within Pipelining.WriteStall.
	Stalled(remote net.Addr, unanswered int)
}

type nopObserver struct{}

func (nopObserver) Begun(*http.Request, int)                           {}
func (nopObserver) Waited(*http.Request, *http.Request, time.Duration) {}
func (nopObserver) Stalled(net.Addr, int)                              {}

// exchangeKey is the key of the exchange in a request's context.
type exchangeKey struct{}

// exchangeOf returns the exchange of a request's context, or nil.
func exchangeOf(ctx context.Context) *exchange {
	e, _ := ctx.Value(exchangeKey{}).(*exchange)
	return e
}

// AwaitTurn blocks until the handler's writes go to the client directly and not into the
// buffer, which is when all earlier responses of the connection were sent, or until the
// context ends. It takes the context of the request. Handlers call it before they acquire
// something that others wait for, for example a share of the link.
func AwaitTurn(ctx context.Context) {
	if e := exchangeOf(ctx); e != nil {
		e.awaitTurn(ctx)
	}
}

// MayRunConcurrently reports whether a request may run concurrently with others of its
// connection, as decided with Pipelining.Repeatable when it was read.
func MayRunConcurrently(r *http.Request) bool {
	e := exchangeOf(r.Context())
	return e != nil && e.repeatable
}

// EndConnection makes this response the last one of its connection, by
// "Connection: close", unless later requests on it have been read already: these are
// answered first. It must be called before the header is written.
func EndConnection(w http.ResponseWriter, r *http.Request) {
	if e := exchangeOf(r.Context()); e != nil && !e.endConnection() {
		return
	}
	w.Header().Set("Connection", "close")
}

// pipelineServer serves the connections of a server that supports pipelining. It reads
// the requests of each connection and gives every one to http.Server as a connection of
// its own.
type pipelineServer struct {
	settings Pipelining
	http     *http.Server
	// exchanges is the listener from which http.Server accepts exchanges.
	exchanges exchangeListener

	mutex sync.Mutex
	open  map[*pipeline]struct{}
}

func newPipelineServer(server *http.Server, settings Pipelining, address net.Addr) *pipelineServer {
	return &pipelineServer{
		settings:  settings.withDefaults(),
		http:      server,
		exchanges: exchangeListener{address: address, next: make(chan *exchange), closed: make(chan struct{})},
		open:      map[*pipeline]struct{}{},
	}
}

// serve accepts connections until the listener fails or is closed, and returns its
// error.
func (s *pipelineServer) serve(listener net.Listener) error {
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

func (s *pipelineServer) remove(p *pipeline) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, p)
}

// forEach calls a function for every open connection.
func (s *pipelineServer) forEach(call func(*pipeline)) {
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

// retireIdle ends connections without a request and reports whether there is something
// to wait for: requests in progress, or connections that are being ended.
func (s *pipelineServer) retireIdle() (pending bool) {
	s.forEach(func(p *pipeline) { pending = p.retire() || pending })
	return pending
}

// count returns the number of connections that are new or idle or, for
// http.StateActive, the number of requests in progress.
func (s *pipelineServer) count(state http.ConnState) (count int) {
	s.forEach(func(p *pipeline) {
		unanswered := p.unanswered()
		if state == http.StateActive {
			count += unanswered
		} else if unanswered == 0 && state == p.idleState() {
			count++
		}
	})
	return count
}

// close closes all connections, and cancels the requests in progress.
func (s *pipelineServer) close() {
	s.forEach(func(p *pipeline) { p.abort() })
	s.exchanges.close()
}

// exchangeListener is a net.Listener whose connections are exchanges.
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

// send passes an exchange to http.Server. After the listener is closed it closes the
// exchange instead.
func (l *exchangeListener) send(e *exchange) {
	select {
	case l.next <- e:
	case <-l.closed:
		_ = e.Close()
	}
}

func (l *exchangeListener) close() { l.once.Do(func() { close(l.closed) }) }

// Close implements net.Listener. Exchanges that were accepted go on.
func (l *exchangeListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *exchangeListener) Addr() net.Addr { return l.address }
