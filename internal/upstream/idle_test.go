package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A process has a pool for each of hundreds of peers, most of which it rarely
// sends anything.
func TestAPoolWithoutConnectionsRunsNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 50 {
		pool := newPool(t, Config{Address: "127.0.0.1:1", MinWarm: -1})
		assert.Assert(t, !pool.planned)
	}
	assert.Equal(t, runtime.NumGoroutine(), before)
}

// Idle connections cost nothing until one of them is to be closed.
func TestUnusedConnectionsAreClosedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(t, Config{Address: "pipe", MinWarm: -1, IdleTimeout: 20 * time.Second, Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return near, nil
		}})
		var busy []*conn
		for range 3 {
			connection, err := pool.acquire(t.Context())
			assert.NilError(t, err)
			connection.wake()
			busy = append(busy, connection)
		}
		for _, connection := range busy {
			pool.release(connection)
			assert.Assert(t, connection.reader == nil, "it keeps its buffers while it is idle")
			time.Sleep(5 * time.Second)
		}
		began := time.Now() // 15 s after the first release
		for idle := 3; idle > 0; idle-- {
			assert.Equal(t, pool.Stats().Idle, idle)
			time.Sleep(5*time.Second + time.Millisecond)
		}
		assert.Equal(t, pool.Stats().Idle, 0)
		assert.Equal(t, pool.Stats().Open, 0)
		assert.Assert(t, time.Since(began) < 16*time.Second)
		assert.Assert(t, !pool.planned)
	})
}

// expiring is a context whose deadline passes when the test says so.
type expiring struct {
	context.Context
	done chan struct{}
}

func (e *expiring) Done() <-chan struct{} { return e.done }

func (e *expiring) Err() error {
	select {
	case <-e.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// awaitRequests returns when a peer has read a number of requests.
func awaitRequests(scripted *peer, count int64) {
	for scripted.requests.Load() < count {
		runtime.Gosched()
	}
}

// Open connections may go silent while new ones work; only time tells. One request
// finds it out, not one for each idle connection.
func TestConnectionsThatHaveGoneSilentCostOneRequest(t *testing.T) {
	const kept = 3
	var silent atomic.Bool
	answer := make(chan struct{})
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		old := false
		for {
			if _, err := next(); err != nil {
				return
			}
			if old && silent.Load() {
				continue
			}
			<-answer
			_, _ = io.WriteString(conn, okAnswer)
			old = true
		}
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
	var all sync.WaitGroup
	for range kept {
		all.Go(func() {
			response, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
			assert.Check(t, err)
			readAll(t, response)
		})
	}
	awaitRequests(scripted, kept)
	close(answer)
	all.Wait()
	assert.Equal(t, pool.Stats().Idle, kept)
	silent.Store(true)
	ctx := &expiring{t.Context(), make(chan struct{})}
	go func() {
		awaitRequests(scripted, kept+1)
		close(ctx.done)
	}()
	_, err := pool.Do(ctx, newRequest(t, http.MethodGet, ""))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, pool.Stats().Idle, 0)
	response, err := pool.Do(t.Context(), newRequest(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
}
