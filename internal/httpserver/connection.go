package httpserver

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// finalReadTimeout bounds the last read of a retired connection. What the client
// sent before is in the kernel already, but a read whose deadline has passed would
// not return it.
const finalReadTimeout = time.Millisecond

// trackedConnection records whether the client has begun to send another request.
// http.ConnState shows this only once the whole header was read.
type trackedConnection struct {
	net.Conn
	// release releases the connection's slot; nil if it has none.
	release func()

	mutex sync.Mutex
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// received is set if bytes were read since the connection became idle.
	received bool
	// retiring is set while the connection is being retired: the next read returns
	// what has arrived, or io.EOF if nothing has.
	retiring bool
}

// trackedConnectionOf returns the tracked connection behind one of the
// http.Server's, which may be that of TLS.
func trackedConnectionOf(connection net.Conn) (*trackedConnection, bool) {
	if tlsConn, ok := connection.(*tls.Conn); ok {
		connection = tlsConn.NetConn()
	}
	found, ok := connection.(*trackedConnection)
	return found, ok
}

// Close implements net.Conn. It releases the connection's slot.
func (c *trackedConnection) Close() error {
	err := c.Conn.Close()
	if c.release != nil {
		c.release()
	}
	return err
}

// SetReadDeadline implements net.Conn. While the connection is being retired, it
// only records the deadline.
func (c *trackedConnection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.retiring {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *trackedConnection) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Read implements net.Conn. On a retired connection it returns what has arrived,
// which cancels the retirement, or io.EOF.
func (c *trackedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginFinalRead() {
		if count, err = c.Conn.Read(buffer); count == 0 {
			return 0, io.EOF
		}
	}
	if count > 0 {
		c.markReceiving()
	}
	return count, err
}

// beginFinalRead reports whether the connection is being retired, and sets the
// deadline of its last read.
func (c *trackedConnection) beginFinalRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.retiring && c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) == nil
}

// markReceiving records that a request has begun, and cancels a retirement.
func (c *trackedConnection) markReceiving() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = true
	if c.retiring {
		c.retiring = false
		// If this fails, the next read fails as well.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// markIdle records that no byte of the next request was read yet.
func (c *trackedConnection) markIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = false
}

// hasReceived reports whether a request has begun.
func (c *trackedConnection) hasReceived() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.received
}

// retire ends the connection unless a request has begun or has arrived.
func (c *trackedConnection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.received || c.retiring {
		return
	}
	c.retiring = true
	_ = c.Conn.SetReadDeadline(time.Now()) // wakes the reader; fails only if the connection is closed
}
