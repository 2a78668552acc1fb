// Package rawpeer serves answers to HTTP/1.1 requests as text, for tests of clients whose peers send what
// an http.Server doesn't.
package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Respond returns the whole text of the answer to a request. If surplus is set, the text is sent a second time
// when the next request arrives on the connection.
type Respond func(request *http.Request) (text string, surplus bool)

// Serve answers the requests of all connections until the listener is closed.
func Serve(listener net.Listener, respond Respond) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go respond.serve(conn)
	}
}

// serve answers the requests of a connection.
func (respond Respond) serve(conn net.Conn) {
	defer conn.Close()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text, surplus := respond(request)
		if _, err := io.WriteString(conn, late+text); err != nil {
			return
		}
		late = ""
		if surplus {
			late = text
		}
	}
}
