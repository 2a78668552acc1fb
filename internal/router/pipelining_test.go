package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// Look-ups that a caller sends ahead run side by side; one that is marked as not
// repeatable waits for those before it.
func TestLookupsSentAheadRunSideBySide(t *testing.T) {
	begun, end := make(chan string, 3), make(chan struct{})
	agent := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-end
		answered(w, r.URL.Path)
	})
	f := newFixture(t, nil, agent)
	connection, err := net.Dial("tcp", f.url[len("http://"):])
	assert.NilError(t, err)
	defer connection.Close()
	line := ""
	for i, extra := range []string{"", "", wire.HeaderNonRepeatable + ": true\r\n" + wire.HeaderRequestID + ": " + newID() + "\r\n"} {
		line += fmt.Sprintf("GET /balanced/%d HTTP/1.1\r\nHost: a\r\n%s\r\n", i, extra)
	}
	_, err = io.WriteString(connection, line)
	assert.NilError(t, err)
	first, second := <-begun, <-begun
	assert.Assert(t, first != second)
	close(end)
	answers := bufio.NewReader(connection)
	for i := range 3 {
		response, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body[len(body)-1:]), fmt.Sprint(i), "%s", body)
	}
}
