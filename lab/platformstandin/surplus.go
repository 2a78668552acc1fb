package platformstandin

import (
	"net"
	"net/http"
	"strings"
	"sync"
)

// Surplus is how a back end sends an answer a second time.
type Surplus int

// Ways of sending a surplus answer.
const (
	// NoSurplus sends each answer once.
	NoSurplus Surplus = iota
	// SurplusLate sends it in the place of the answer to the next request on the connection.
	SurplusLate
	// SurplusAtOnce sends it right behind the first one.
	SurplusAtOnce
)

// mostRecorded bounds the length of an answer that is sent a second time.
const mostRecorded = 64 << 10

// surplusListener accepts connections on which answers may be sent twice.
type surplusListener struct {
	net.Listener
	draw func() Surplus
}

// Accept implements net.Listener.
func (l *surplusListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &surplusConn{Conn: conn, draw: l.draw}, nil
}

// surplusConn records each answer, and may send it again.
type surplusConn struct {
	net.Conn
	draw func() Surplus

	mutex  sync.Mutex
	answer []byte
	// late is an answer that is sent again when the next request arrives.
	late []byte
}

// Write implements net.Conn.
func (c *surplusConn) Write(output []byte) (int, error) {
	c.mutex.Lock()
	if len(c.answer)+len(output) <= mostRecorded {
		c.answer = append(c.answer, output...)
	}
	c.mutex.Unlock()
	return c.Conn.Write(output)
}

// Read implements net.Conn. The bytes that it returns behind an answer belong to the next request.
func (c *surplusConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.mutex.Lock()
		late := c.late
		c.late = nil
		c.mutex.Unlock()
		if len(late) > 0 {
			_, _ = c.Conn.Write(late)
		}
	}
	return count, err
}

// answered is called when the server has sent a whole answer.
func (c *surplusConn) answered() {
	c.mutex.Lock()
	answer := c.answer
	c.answer = nil
	surplus := NoSurplus
	if len(answer) > 0 {
		surplus = c.draw()
	}
	if surplus == SurplusLate {
		c.late = answer
	}
	c.mutex.Unlock()
	if surplus == SurplusAtOnce {
		_, _ = c.Conn.Write(answer)
	}
}

// noteState is the ConnState hook of an instance's server.
func noteState(conn net.Conn, state http.ConnState) {
	if surplus, ok := conn.(*surplusConn); ok && state == http.StateIdle {
		surplus.answered()
	}
}

// SetSurplus makes the instance send answers twice, also those to grants and releases, as often as
// draw says. Nil ends that.
func (i *Instance) SetSurplus(draw func() Surplus) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.surplus = draw
}

// SetRefusals makes the instance turn requests away that it could run, as often as draw says. Nil
// ends that.
func (i *Instance) SetRefusals(draw func() bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.refusals = draw
}

func (i *Instance) drawSurplus() Surplus {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.surplus == nil {
		return NoSurplus
	}
	return i.surplus()
}

// turnsAway answers a request that the instance does not run, and reports whether it is one.
func (i *Instance) turnsAway(w http.ResponseWriter) bool {
	i.mutex.Lock()
	refuses := i.refusals != nil && i.refusals()
	i.mutex.Unlock()
	if refuses {
		i.writeStatements(w.Header())
		w.Header().Set("Not-Executed", "1")
		http.Error(w, strings.ToLower(http.StatusText(http.StatusTooManyRequests)), http.StatusTooManyRequests)
	}
	return refuses
}
