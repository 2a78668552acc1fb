package faultproxy_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
)

// startEchoThroughProxy starts an echo server and a proxy in front of it.
func startEchoThroughProxy(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				io.Copy(connection, connection)
			}()
		}
	}()
	proxy, err := faultproxy.Listen(faultproxy.Config{
		Name: "p", Listen: "127.0.0.1:0", Target: listener.Addr().String(), Seed: 1,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { proxy.Close() })
	return proxy
}

func dial(t *testing.T, proxy *faultproxy.Proxy) *net.TCPConn {
	t.Helper()
	connection, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection.(*net.TCPConn)
}

// exchange sends text and reads the same number of bytes back.
func exchange(connection net.Conn, text string) (string, error) {
	if _, err := io.WriteString(connection, text); err != nil {
		return "", err
	}
	buffer := make([]byte, len(text))
	count, err := io.ReadFull(connection, buffer)
	return string(buffer[:count]), err
}

func assertNoData(t *testing.T, connection net.Conn) {
	t.Helper()
	connection.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := connection.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	connection.SetReadDeadline(time.Time{})
}

func TestBytesPassUnchanged(t *testing.T) {
	connection := dial(t, startEchoThroughProxy(t))
	text := strings.Repeat("0123456789", 100_000)
	go io.WriteString(connection, text)
	got := make([]byte, len(text))
	_, err := io.ReadFull(connection, got)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, []byte(text)))
}

func TestStalledBytesArriveAfterHealing(t *testing.T) {
	proxy := startEchoThroughProxy(t)
	connection := dial(t, proxy)
	assert.NilError(t, proxy.Set(faultproxy.Faults{Backward: faultproxy.Fault{Stall: true}}))
	_, err := io.WriteString(connection, "late")
	assert.NilError(t, err)
	assertNoData(t, connection)
	proxy.Heal()
	buffer := make([]byte, 4)
	_, err = io.ReadFull(connection, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), "late")
}

func TestConnectionWithLostBytesStaysSilentAfterHeal(t *testing.T) {
	proxy := startEchoThroughProxy(t)
	connection := dial(t, proxy)
	assert.NilError(t, proxy.Set(faultproxy.Lose(faultproxy.Forward)))
	_, err := io.WriteString(connection, "lost")
	assert.NilError(t, err)
	assertNoData(t, connection)
	proxy.Heal()
	_, err = io.WriteString(connection, "after")
	assert.NilError(t, err)
	assertNoData(t, connection)

	got, err := exchange(dial(t, proxy), "fresh")
	assert.NilError(t, err)
	assert.Equal(t, got, "fresh")
}

func TestBlackHoleAcceptsButNeverResponds(t *testing.T) {
	proxy := startEchoThroughProxy(t)
	assert.NilError(t, proxy.Set(faultproxy.BlackHole()))
	connection := dial(t, proxy)
	_, err := io.WriteString(connection, "x")
	assert.NilError(t, err)
	assertNoData(t, connection)
}

func TestTruncationSendsFINAndResetSendsRST(t *testing.T) {
	proxy := startEchoThroughProxy(t)
	assert.NilError(t, proxy.Set(faultproxy.Faults{Backward: faultproxy.Fault{TruncateAfter: 3}}))
	got, err := exchange(dial(t, proxy), "123456")
	assert.Equal(t, got, "123")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	assert.NilError(t, proxy.Set(faultproxy.Faults{Backward: faultproxy.Fault{ResetAfter: 3}}))
	_, err = exchange(dial(t, proxy), "123456")
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestSameSeedTriggersSameFaults(t *testing.T) {
	cutPattern := func() string {
		proxy := startEchoThroughProxy(t)
		assert.NilError(t, proxy.Set(faultproxy.Faults{
			Backward: faultproxy.Fault{TruncateAfter: 3, Probability: 0.5},
		}))
		pattern := ""
		for range 12 {
			if _, err := exchange(dial(t, proxy), "123456"); err != nil {
				pattern += "x"
			} else {
				pattern += "."
			}
		}
		return pattern
	}
	first := cutPattern()
	assert.Assert(t, strings.Contains(first, "x") && strings.Contains(first, "."), first)
	assert.Equal(t, first, cutPattern())
}

func TestControlOverHTTP(t *testing.T) {
	proxy := startEchoThroughProxy(t)
	server := httptest.NewServer(faultproxy.Handler(proxy))
	defer server.Close()
	put := func(body string) int {
		request, err := http.NewRequest("PUT", server.URL+"/proxies/p/faults", strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, put(`{"refuse_new":true}`), http.StatusOK)
	// The proxy refuses with a reset, which may arrive before Dial returns.
	connection, err := net.Dial("tcp", proxy.Address())
	if err == nil {
		defer connection.Close()
		_, err = exchange(connection, "x")
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, put(`{"refuse_knew":true}`), http.StatusBadRequest)
	assert.Equal(t, put(`{"forward":{"probability":2}}`), http.StatusBadRequest)
}
