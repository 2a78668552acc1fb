package upstream

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGivenUpRequestEndsWhenThePeerSaysSo: the caller hears at once, the end is
// told once the peer has stopped its run.
func TestGivenUpRequestEndsWhenThePeerSaysSo(t *testing.T) {
	received, stopRun := make(chan struct{}), make(chan struct{})
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		_, _ = next()
		close(received)
		_, err := next()
		assert.Check(t, err == io.EOF, "the peer sees that the caller left: %v", err)
		<-stopRun
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1, MaxConnections: 1, Linger: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	failed := make(chan error)
	go func() {
		_, err := pool.DoNotify(ctx, newRequest(t, http.MethodPost, "first"), func() { close(ended) })
		failed <- err
	}()
	<-received
	cancel()
	assert.ErrorIs(t, <-failed, ErrInterrupted)
	select {
	case <-ended:
		t.Fatal("ended while the peer runs it")
	default:
	}
	assert.Equal(t, pool.Stats().Open, 1, "the connection counts until then")
	close(stopRun)
	<-ended
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestLingerIsBounded(t *testing.T) {
	received := make(chan struct{})
	scripted := startPeer(t, func(_ int, _ net.Conn, next func() (*http.Request, error)) {
		_, _ = next()
		close(received)
		select {} // frozen
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1, Linger: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		<-received
		cancel()
	}()
	_, err := pool.DoNotify(ctx, newRequest(t, http.MethodGet, ""), func() { close(ended) })
	assert.ErrorIs(t, err, ErrInterrupted)
	<-ended
}

func TestEndIsToldOnceForEachRequest(t *testing.T) {
	answers := 0
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		for {
			if _, err := next(); err != nil {
				return
			}
			answers++
			if answers == 3 {
				return
			}
			_, _ = io.WriteString(conn, okAnswer)
		}
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1, Linger: time.Minute})
	ends := 0
	for range 2 {
		response, err := pool.DoNotify(context.Background(), newRequest(t, http.MethodGet, ""), func() { ends++ })
		assert.NilError(t, err)
		readAll(t, response)
	}
	assert.Equal(t, ends, 2)
	_, err := pool.DoNotify(context.Background(), newRequest(t, http.MethodGet, ""), func() { ends++ })
	assert.ErrorIs(t, err, ErrInterrupted)
	assert.Equal(t, ends, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.DoNotify(ctx, newRequest(t, http.MethodGet, ""), func() { ends++ })
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Equal(t, ends, 4)
}

// netHTTPClients are names of net/http that send requests by http.Transport,
// which sends some requests twice.
var netHTTPClients = []string{"Transport", "Client", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// offRequestPath may use them: operators' calls carry their own request ids,
// and the machine list is only read.
var offRequestPath = []string{"admin", "controller"}

// TestRequestPathUsesNoNetHTTPClient looks through the product's sources.
func TestRequestPathUsesNoNetHTTPClient(t *testing.T) {
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if slices.Contains(offRequestPath, strings.Split(path, string(filepath.Separator))[1]) {
			return nil
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			of, ok := selector.X.(*ast.Ident)
			used := ok && of.Name == "http" && slices.Contains(netHTTPClients, selector.Sel.Name)
			assert.Check(t, !used, "%s uses http.%s", set.Position(node.Pos()), selector.Sel.Name)
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 100, "%d files", files)
}
