package transport

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
)

// Defaults of Options.
const (
	// DefaultMaxFrame bounds a frame, in bytes of payload.
	DefaultMaxFrame = 64 << 20
	// DefaultWriteTimeout is how long a peer may leave a frame unread.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long a peer may send nothing.
	DefaultIdleTimeout = 30 * time.Second
	// closeLimit is how long a peer may leave the last word of TLS unread: a few
	// round trips between regions.
	closeLimit = 300 * time.Millisecond
)

// Options of a connection or a listener. The zero value means plain TCP with
// the defaults above.
type Options struct {
	// TLS, if set, runs the connection over TLS.
	TLS *tls.Config
	// MaxFrame bounds what is sent and received, in bytes of payload.
	MaxFrame int
	// WriteTimeout bounds one Send. Negative means no bound.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait of one Receive. Negative means no bound.
	IdleTimeout time.Duration
}

func (options Options) withDefaults() Options {
	if options.MaxFrame == 0 {
		options.MaxFrame = DefaultMaxFrame
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	return options
}

// Conn sends and receives messages. One goroutine may send while another
// receives; Close and the counters may be called from any.
type Conn struct {
	stream  net.Conn
	options Options

	sending sync.Mutex
	outBuf  bytes.Buffer
	encoder *gob.Encoder
	// sentTypes holds the message types whose descriptors the peer has.
	sentTypes map[reflect.Type]bool

	reader  *bufio.Reader
	inBuf   bytes.Buffer
	decoder *gob.Decoder

	closed   atomic.Bool
	sent     counter
	received counter
}

// counter counts one direction of a connection.
type counter struct {
	frames, bytes atomic.Uint64
}

func (c *counter) add(bytes uint64) {
	c.frames.Add(1)
	c.bytes.Add(bytes)
}

// Dial opens a connection. The context bounds the dial and, with TLS, the
// handshake; it does not bound the connection's life.
func Dial(ctx context.Context, address string, options Options) (*Conn, error) {
	var dialer net.Dialer
	stream, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if options.TLS == nil {
		return NewConn(stream, options), nil
	}
	secured := tls.Client(stream, clientConfig(options.TLS, address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = stream.Close()
		return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
	}
	return NewConn(secured, options), nil
}

// clientConfig fills in the name to verify, as tls.Dial does.
func clientConfig(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	named := config.Clone()
	named.ServerName = host
	return named
}

// NewConn carries messages over a stream that is already open.
func NewConn(stream net.Conn, options Options) *Conn {
	c := &Conn{stream: stream, options: options.withDefaults(), sentTypes: make(map[reflect.Type]bool)}
	c.reader = bufio.NewReaderSize(stream, readBuffer)
	c.encoder = gob.NewEncoder(&c.outBuf)
	c.decoder = gob.NewDecoder(&c.inBuf)
	return c
}

// Send writes one message. Calls from several goroutines take turns. Any error
// closes the connection.
func (c *Conn) Send(message any) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	return c.finish("send to", c.sendLocked(message))
}

func (c *Conn) sendLocked(message any) error {
	defer resetBuffer(&c.outBuf)
	c.outBuf.Write(make([]byte, headerSize))
	if err := c.encoder.Encode(message); err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	c.sentTypes[messageType(message)] = true
	frame := c.outBuf.Bytes()
	if size := len(frame) - headerSize; size > c.options.MaxFrame {
		return &FrameTooLargeError{Size: size, Limit: c.options.MaxFrame}
	}
	putHeader(frame)
	return c.write(frame)
}

// messageType is the type that gob sends for a message: pointers are followed.
func messageType(message any) reflect.Type {
	kind := reflect.TypeOf(message)
	for kind != nil && kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	return kind
}

func (c *Conn) write(frame []byte) error {
	if c.options.WriteTimeout > 0 {
		if err := c.stream.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout)); err != nil {
			return err
		}
	}
	count, err := c.stream.Write(frame)
	c.sent.add(uint64(count))
	return err
}

// Receive reads one message into the value that message points to. Fields that
// the sender left at zero keep the value they had, as gob does; pass a zero
// value. One goroutine at a time may receive. Any error closes the connection.
func (c *Conn) Receive(message any) error {
	return c.finish("receive from", c.receive(message))
}

func (c *Conn) receive(message any) error {
	defer resetBuffer(&c.inBuf)
	if c.options.IdleTimeout > 0 {
		if err := c.stream.SetReadDeadline(time.Now().Add(c.options.IdleTimeout)); err != nil {
			return err
		}
	}
	header, err := readHeader(c.reader)
	if err != nil {
		return err
	}
	if err := readPayload(c.reader, header, c.options.MaxFrame, &c.inBuf); err != nil {
		return err
	}
	c.received.add(uint64(headerSize) + uint64(header.length))
	if err := gobcheck.CheckLengths(c.inBuf.Bytes()); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := c.decoder.Decode(message); err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if c.inBuf.Len() != 0 {
		return fmt.Errorf("%w: %d bytes after the message", ErrDamaged, c.inBuf.Len())
	}
	return nil
}

// Await returns once the next message has begun to arrive, or the idle timeout
// is over. The goroutine that receives may call it.
func (c *Conn) Await() error {
	if c.options.IdleTimeout > 0 {
		if err := c.stream.SetReadDeadline(time.Now().Add(c.options.IdleTimeout)); err != nil {
			return c.finish("receive from", err)
		}
	}
	_, err := c.reader.Peek(1)
	return c.finish("receive from", err)
}

// SetIdleTimeout changes Options.IdleTimeout for later calls of Receive. It is
// called by the goroutine that receives.
func (c *Conn) SetIdleTimeout(timeout time.Duration) { c.options.IdleTimeout = timeout }

// finish closes the connection on an error and says which connection failed.
// The end of the stream between two frames stays a bare io.EOF.
func (c *Conn) finish(doing string, err error) error {
	if err == nil {
		return nil
	}
	wasClosed := c.closed.Load()
	_ = c.Close()
	if err == io.EOF {
		return io.EOF
	}
	if wasClosed {
		err = ErrClosed
	}
	return fmt.Errorf("%s %s: %w", doing, c.stream.RemoteAddr(), err)
}

// Close closes the connection and ends Send and Receive calls in progress. It
// may be called more than once. Over TLS it waits at most closeLimit for a peer
// that does not read.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	secured, ok := c.stream.(*tls.Conn)
	if !ok {
		return c.stream.Close()
	}
	cut := time.AfterFunc(closeLimit, func() { _ = secured.NetConn().Close() })
	defer cut.Stop()
	return secured.Close()
}

// BytesSent counts the bytes written, frame headers included, TLS records and
// packet headers not.
func (c *Conn) BytesSent() uint64 { return c.sent.bytes.Load() }

// BytesReceived counts the bytes of whole frames received.
func (c *Conn) BytesReceived() uint64 { return c.received.bytes.Load() }

// FramesSent counts frames written, for an estimate of the packets below them.
func (c *Conn) FramesSent() uint64 { return c.sent.frames.Load() }

// FramesReceived counts whole frames received.
func (c *Conn) FramesReceived() uint64 { return c.received.frames.Load() }

// RemoteAddress is the peer's "IP:port".
func (c *Conn) RemoteAddress() string { return c.stream.RemoteAddr().String() }

// LocalAddress is this end's "IP:port".
func (c *Conn) LocalAddress() string { return c.stream.LocalAddr().String() }
