package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRoundTrip compares one look-up sized exchange on a warm connection
// of the pool with the same through http.Transport.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	if err != nil {
		b.Fatal(err)
	}
	pool, err := New(Config{Address: server.Listener.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	b.Run("pool", func(b *testing.B) {
		benchmarkRoundTrip(b, func() (*http.Response, error) { return pool.Do(context.Background(), request) })
	})
	b.Run("transport", func(b *testing.B) {
		benchmarkRoundTrip(b, func() (*http.Response, error) { return transport.RoundTrip(request) })
	})
}

func benchmarkRoundTrip(b *testing.B, do func() (*http.Response, error)) {
	b.ReportAllocs()
	for b.Loop() {
		response, err := do()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}
