package backend

import (
	"net"
	"sync"
	"time"
)

// limitListener counts open connections, refuses those over the limit and
// takes a fixed time to accept one.
type limitListener struct {
	net.Listener
	limit   int
	cost    time.Duration
	refused func()

	mutex sync.Mutex
	open  int
	total int
}

func newLimitListener(listener net.Listener, limit int, cost time.Duration, refused func()) *limitListener {
	return &limitListener{Listener: listener, limit: limit, cost: cost, refused: refused}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.cost)
		if l.take() {
			return &countedConnection{Conn: connection, release: l.release}, nil
		}
		l.refused()
		connection.Close()
	}
}

func (l *limitListener) take() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		return false
	}
	l.open++
	l.total++
	return true
}

func (l *limitListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// counts returns the open and the accepted connections.
func (l *limitListener) counts() (open, total int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open, l.total
}

type countedConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *countedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
