package httpserver_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

// closingRequest ends a connection if the requests before it are complete.
const closingRequest = "GET /safe/last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// dateHeader matches the only field in which two responses to the same request differ.
var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// echo responds with a description of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	fmt.Fprintf(w, "%s %s %q %d %x %t", r.Method, r.RequestURI, r.Host, len(body), sum.Sum64(), err == nil)
}

// echoServer serves echo and returns its address.
func echoServer(t testing.TB, newServer constructor) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	inner := &http.Server{Handler: http.HandlerFunc(echo), ReadTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	server := newServer(inner, listener.(*net.TCPListener), 0)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { assert.Check(t, server.Stop(t.Context()) == nil || t.Context().Err() != nil) })
	return listener.Addr().String()
}

// exchangeBytes sends bytes in chunks and returns all that is received.
func exchangeBytes(t testing.TB, address string, sent []byte, chunk int) string {
	t.Helper()
	c := connect(t, address)
	defer c.Close()
	go func() {
		for rest := sent; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
			if _, err := c.Write(rest[:min(chunk, len(rest))]); err != nil {
				return
			}
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	received, _ := io.ReadAll(c.responses)
	return dateHeader.ReplaceAllString(string(received), "")
}

// For any bytes, in chunks of any size, the responses must be those of http.Server without
// pipelining.
func FuzzPipelining(f *testing.F) {
	get := "GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, seed := range []string{
		get + get, get + "HEAD /safe/2 HTTP/1.1\r\nHost: a\r\n\r\n" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + get,
		"POST /p HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get,
		"GET /safe/0 HTTP/1.0\r\n\r\n" + get, "GET /safe/0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get,
		"GET /safe/u HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + get,
		get + "GET /safe/nohost HTTP/1.1\r\n\r\n" + get, get + "\x00\x01garbage\r\n\r\n" + get,
		get + "GET /safe/1 HTTP/1.1\r\nHost: a b\r\n\r\n", get + "GET /safe/1 HTTP/1.1\r\nHost: a\r\n : x\r\n\r\n",
		"\r\n" + get, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" + get,
		"GET /safe/b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello" + get, "GET /safe/1 HTTP/1.1\nHost: a\n\n" + get,
	} {
		f.Add([]byte(seed), uint16(1<<15))
		f.Add([]byte(seed), uint16(5))
	}
	plain := echoServer(f, httpserver.New)
	pipelined := echoServer(f, func(server *http.Server, listener httpserver.Listener, limit int) *httpserver.Server {
		return httpserver.NewPipelined(server, listener, limit, httpserver.Pipelining{Repeatable: isSafePath})
	})
	f.Fuzz(func(t *testing.T, sent []byte, chunk uint16) {
		requests := append([]byte(nil), sent...)
		requests = append(requests, closingRequest...)
		want := exchangeBytes(t, plain, requests, max(1, int(chunk)))
		got := exchangeBytes(t, pipelined, requests, max(1, int(chunk)))
		if got != want {
			t.Fatalf("pipelined:\n%s\nhttp.Server:\n%s", got, want)
		}
	})
}
