package transport

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// Listener accepts connections.
type Listener struct {
	socket  net.Listener
	options Options
}

// Listen opens a listener at "IP:port". Port 0 selects a free port; see Address.
func Listen(address string, options Options) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return &Listener{socket: socket, options: options}, nil
}

// Accept waits for the next connection. With TLS the handshake runs within the
// connection's first Send or Receive, so that a slow peer does not block other connections.
// After Close it returns ErrClosed.
func (l *Listener) Accept() (*Conn, error) {
	stream, err := l.socket.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, fmt.Errorf("accept at %s: %w", l.Address(), ErrClosed)
	}
	if err != nil {
		return nil, fmt.Errorf("accept at %s: %w", l.Address(), err)
	}
	if l.options.TLS != nil {
		stream = tls.Server(stream, l.options.TLS)
	}
	return NewConn(stream, l.options), nil
}

// Address returns the "IP:port" at which the listener accepts connections.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close stops accepting connections. Those already accepted stay open.
func (l *Listener) Close() error { return l.socket.Close() }
