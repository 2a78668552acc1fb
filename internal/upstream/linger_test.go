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

// The caller of a cancelled request gets its error at once, while ended is called
// only when the peer has stopped running the request and closed the connection.
func TestCancelledRequestEndsWhenPeerCloses(t *testing.T) {
	received, stopRun := make(chan struct{}), make(chan struct{})
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		_, _ = next()
		close(received)
		_, err := next()
		assert.Check(t, err == io.EOF, "the peer must see that the connection is closed for writing: %v", err)
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
		t.Fatal("ended was called while the peer still runs the request")
	default:
	}
	assert.Equal(t, pool.Stats().Open, 1, "the connection counts as open until the peer closes it")
	close(stopRun)
	<-ended
	assert.Equal(t, pool.Stats().Open, 0)
}

// A peer that hangs and never closes the connection must not hold it open for
// longer than Linger.
func TestLingerIsBounded(t *testing.T) {
	received := make(chan struct{})
	scripted := startPeer(t, func(_ int, _ net.Conn, next func() (*http.Request, error)) {
		_, _ = next()
		close(received)
		select {} // hangs
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

func TestEndedIsCalledOncePerRequest(t *testing.T) {
	responses := 0
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		for {
			if _, err := next(); err != nil {
				return
			}
			responses++
			if responses == 3 {
				return
			}
			_, _ = io.WriteString(conn, okResponse)
		}
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1, Linger: time.Minute})
	endedCalls := 0
	for range 2 {
		response, err := pool.DoNotify(context.Background(), newRequest(t, http.MethodGet, ""), func() { endedCalls++ })
		assert.NilError(t, err)
		readAll(t, response)
	}
	assert.Equal(t, endedCalls, 2)
	_, err := pool.DoNotify(context.Background(), newRequest(t, http.MethodGet, ""), func() { endedCalls++ })
	assert.ErrorIs(t, err, ErrInterrupted)
	assert.Equal(t, endedCalls, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.DoNotify(ctx, newRequest(t, http.MethodGet, ""), func() { endedCalls++ })
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Equal(t, endedCalls, 4)
}

// netHTTPClients are the names of net/http that send requests through
// http.Transport, which sends some requests twice.
var netHTTPClients = []string{"Transport", "Client", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// packagesOffRequestPath may use netHTTPClients: operators' calls carry their own
// request IDs, and the machine list is only read.
var packagesOffRequestPath = []string{"admin", "controller"}

// TestRequestPathUsesNoNetHTTPClient parses the sources of all internal packages.
func TestRequestPathUsesNoNetHTTPClient(t *testing.T) {
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if slices.Contains(packagesOffRequestPath, strings.Split(path, string(filepath.Separator))[1]) {
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
			packageName, ok := selector.X.(*ast.Ident)
			used := ok && packageName.Name == "http" && slices.Contains(netHTTPClients, selector.Sel.Name)
			assert.Check(t, !used, "%s uses http.%s", set.Position(node.Pos()), selector.Sel.Name)
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 100, "only %d files were checked", files)
}
