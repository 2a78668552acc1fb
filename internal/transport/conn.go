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
	// DefaultMaxFrame is the maximum payload of a frame in bytes.
	DefaultMaxFrame = 64 << 20
	// DefaultWriteTimeout is the time within which a peer must accept a frame.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultIdleTimeout is the time for which a peer may send nothing.
	DefaultIdleTimeout = 30 * time.Second
	// closeTimeout bounds the sending of TLS's close_notify alert to a peer that
	// does not read. It allows for a few round trips between regions.
	closeTimeout = 300 * time.Millisecond
)

// Options configures a connection or a listener. The zero value means plain TCP with
// the defaults above.
type Options struct {
	// TLS, if set, runs the connection over TLS.
	TLS *tls.Config
	// MaxFrame is the maximum payload in bytes of a frame sent or received.
	MaxFrame int
	// WriteTimeout is the time limit of one Send. Negative means no limit.
	WriteTimeout time.Duration
	// IdleTimeout is the time limit of one Receive. Negative means no limit.
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
// receives; Close and the counters may be called from any goroutine.
type Conn struct {
	stream  net.Conn
	options Options

	sendMutex sync.Mutex
	outBuf    bytes.Buffer
	encoder   *gob.Encoder
	// sentTypes holds the message types whose descriptors have been sent to the
	// peer.
	sentTypes map[reflect.Type]bool

	reader  *bufio.Reader
	inBuf   bytes.Buffer
	decoder *gob.Decoder

	closed   atomic.Bool
	sent     counter
	received counter
}

// counter counts the frames and bytes of one direction of a connection.
type counter struct {
	frames, bytes atomic.Uint64
}

func (c *counter) add(bytes uint64) {
	c.frames.Add(1)
	c.bytes.Add(bytes)
}

// Dial opens a connection. The context bounds the dial and, with TLS, the
// handshake, but not the lifetime of the connection.
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

// clientConfig sets the server name to verify if it is missing, as tls.Dial does.
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

// NewConn returns a connection that sends and receives messages over an open
// stream.
func NewConn(stream net.Conn, options Options) *Conn {
	c := &Conn{stream: stream, options: options.withDefaults(), sentTypes: make(map[reflect.Type]bool)}
	c.reader = bufio.NewReaderSize(stream, readBufferSize)
	c.encoder = gob.NewEncoder(&c.outBuf)
	c.decoder = gob.NewDecoder(&c.inBuf)
	return c
}

// Send writes one message. Concurrent calls are serialized. Any error closes the
// connection.
func (c *Conn) Send(message any) error {
	c.sendMutex.Lock()
	defer c.sendMutex.Unlock()
	return c.closeOnError("send to", c.sendLocked(message))
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

// messageType returns the type that gob sends for a message: pointers are
// dereferenced.
func messageType(message any) reflect.Type {
	typ := reflect.TypeOf(message)
	for typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	return typ
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

// Receive reads one message into the value that message points to. This should be
// a zero value, because gob leaves fields unchanged that are zero at the sender.
// Only one goroutine at a time may receive. Any error closes the connection.
func (c *Conn) Receive(message any) error {
	return c.closeOnError("receive from", c.receive(message))
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

// WaitForMessage blocks until the next message starts to arrive or the idle timeout
// expires. Only the receiving goroutine may call it.
func (c *Conn) WaitForMessage() error {
	if c.options.IdleTimeout > 0 {
		if err := c.stream.SetReadDeadline(time.Now().Add(c.options.IdleTimeout)); err != nil {
			return c.closeOnError("receive from", err)
		}
	}
	_, err := c.reader.Peek(1)
	return c.closeOnError("receive from", err)
}

// SetIdleTimeout changes Options.IdleTimeout for later calls of Receive. Only the
// receiving goroutine may call it.
func (c *Conn) SetIdleTimeout(timeout time.Duration) { c.options.IdleTimeout = timeout }

// closeOnError closes the connection if err is not nil and wraps err with the
// operation and the peer's address. It returns io.EOF, the end of the stream
// between two frames, unwrapped.
func (c *Conn) closeOnError(operation string, err error) error {
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
	return fmt.Errorf("%s %s: %w", operation, c.stream.RemoteAddr(), err)
}

// Close closes the connection and ends Send and Receive calls in progress. It
// may be called more than once. Over TLS it waits at most closeTimeout for a peer
// that does not read.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	secured, ok := c.stream.(*tls.Conn)
	if !ok {
		return c.stream.Close()
	}
	forceClose := time.AfterFunc(closeTimeout, func() { _ = secured.NetConn().Close() })
	defer forceClose.Stop()
	return secured.Close()
}

// BytesSent returns the number of bytes written. It includes frame headers but not
// the overhead of TLS and of packets.
func (c *Conn) BytesSent() uint64 { return c.sent.bytes.Load() }

// BytesReceived returns the number of bytes in complete frames received.
func (c *Conn) BytesReceived() uint64 { return c.received.bytes.Load() }

// FramesSent returns the number of frames written, from which the number of
// packets can be estimated.
func (c *Conn) FramesSent() uint64 { return c.sent.frames.Load() }

// FramesReceived returns the number of complete frames received.
func (c *Conn) FramesReceived() uint64 { return c.received.frames.Load() }

// RemoteAddress returns the peer's "IP:port".
func (c *Conn) RemoteAddress() string { return c.stream.RemoteAddr().String() }

// LocalAddress returns the local "IP:port".
func (c *Conn) LocalAddress() string { return c.stream.LocalAddr().String() }
