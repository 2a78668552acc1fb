package agent

import (
	"net"
	"net/http"
	"sync"
)

// newConnections are those on which no byte of a request has arrived yet, such
// as routers keep warm. http.Server.Shutdown would wait seconds for them.
type newConnections struct {
	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

// follow is the server's ConnState hook.
func (connections *newConnections) follow(connection net.Conn, state http.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if state != http.StateNew {
		delete(connections.open, connection)
		return
	}
	if connections.open == nil {
		connections.open = make(map[net.Conn]struct{})
	}
	connections.open[connection] = struct{}{}
}

// close closes them.
func (connections *newConnections) close() {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for connection := range connections.open {
		_ = connection.Close()
	}
}
