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

// lastReadWait is how long the last read of a retired connection waits. What the
// caller sent before is in the kernel already; a deadline that has passed would
// not read it.
const lastReadWait = time.Millisecond

// trackedConnection knows whether the caller has begun another request, which
// http.ConnState shows only once the whole header was read.
type trackedConnection struct {
	net.Conn
	// free gives the slot of a limited connection back; nil where there is none.
	free func()

	mutex sync.Mutex
	// deadline for reading as the server set it.
	deadline time.Time
	// received says that bytes were read since the connection became idle.
	received bool
	// retiring says that reading ends once nothing more has arrived.
	retiring bool
}

// tracked returns the tracked connection below one that the server names.
func tracked(connection net.Conn) (*trackedConnection, bool) {
	if secured, ok := connection.(*tls.Conn); ok {
		connection = secured.NetConn()
	}
	found, ok := connection.(*trackedConnection)
	return found, ok
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	err := c.Conn.Close()
	if c.free != nil {
		c.free()
	}
	return err
}

// SetReadDeadline implements net.Conn.
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
// which calls the retirement off, or io.EOF.
func (c *trackedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastRead() {
		if count, err = c.Conn.Read(buffer); count == 0 {
			return 0, io.EOF
		}
	}
	if count > 0 {
		c.resume()
	}
	return count, err
}

// beginLastRead returns whether the connection is retired, and gives its last
// read a moment.
func (c *trackedConnection) beginLastRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.retiring && c.Conn.SetReadDeadline(time.Now().Add(lastReadWait)) == nil
}

// resume notes that a request has begun.
func (c *trackedConnection) resume() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = true
	if c.retiring {
		c.retiring = false
		// A connection that can't take it fails at the next read.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// idle notes that the answer to the last request was written.
func (c *trackedConnection) idle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = false
}

// receiving says that a request has begun.
func (c *trackedConnection) receiving() bool {
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
	_ = c.Conn.SetReadDeadline(time.Now()) // wakes the reader; one that is closed has ended
}
