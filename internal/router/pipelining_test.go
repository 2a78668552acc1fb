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

// Pipelined lookups run concurrently. One with the non-repeatable header waits
// for those before it.
func TestPipelinedLookupsRunConcurrently(t *testing.T) {
	started, finish := make(chan string, 3), make(chan struct{})
	agent := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-finish
		respondAnswered(w, r.URL.Path)
	})
	f := newFixture(t, nil, agent)
	connection, err := net.Dial("tcp", f.url[len("http://"):])
	assert.NilError(t, err)
	defer connection.Close()
	requests := ""
	for i, extra := range []string{"", "", wire.HeaderNonRepeatable + ": true\r\n" + wire.HeaderRequestID + ": " + newRequestID() + "\r\n"} {
		requests += fmt.Sprintf("GET /balanced/%d HTTP/1.1\r\nHost: a\r\n%s\r\n", i, extra)
	}
	_, err = io.WriteString(connection, requests)
	assert.NilError(t, err)
	first, second := <-started, <-started
	assert.Assert(t, first != second)
	close(finish)
	answers := bufio.NewReader(connection)
	for i := range 3 {
		response, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body[len(body)-1:]), fmt.Sprint(i), "%s", body)
	}
}
