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

// A process has a pool for each of hundreds of peers, and rarely sends requests
// to most of them. Such pools must not use goroutines or timers.
func TestPoolWithoutConnectionsRunsNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 50 {
		pool := newPool(t, Config{Address: "127.0.0.1:1", MinWarm: -1})
		assert.Assert(t, !pool.maintenanceScheduled)
	}
	assert.Equal(t, runtime.NumGoroutine(), before)
}

// Maintenance of idle connections is scheduled for the time at which one of them
// must be closed, and not at all once none is left.
func TestUnusedConnectionsAreClosedAfterIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(t, Config{Address: "pipe", MinWarm: -1, IdleTimeout: 20 * time.Second, Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			t.Cleanup(func() { _ = server.Close() })
			return client, nil
		}})
		var busy []*conn
		for range 3 {
			connection, err := pool.acquire(t.Context())
			assert.NilError(t, err)
			connection.acquireBuffers()
			busy = append(busy, connection)
		}
		for _, connection := range busy {
			pool.release(connection)
			assert.Assert(t, connection.reader == nil, "an idle connection must not keep its buffers")
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
		assert.Assert(t, !pool.maintenanceScheduled)
	})
}

// manualDeadlineContext is a context whose deadline passes when done is closed.
type manualDeadlineContext struct {
	context.Context
	done chan struct{}
}

func (e *manualDeadlineContext) Done() <-chan struct{} { return e.done }

func (e *manualDeadlineContext) Err() error {
	select {
	case <-e.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// awaitRequests waits until a peer has read a number of requests.
func awaitRequests(scripted *scriptedPeer, count int64) {
	for scripted.requests.Load() < count {
		runtime.Gosched()
	}
}

// Open connections can fail silently while new ones work, which only a timeout
// reveals. After one request has timed out on an idle connection, the others must
// be closed, so that no further request fails.
func TestTimeoutOnIdleConnectionClosesAllIdle(t *testing.T) {
	const kept = 3
	var silent atomic.Bool
	respond := make(chan struct{})
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		reused := false
		for {
			if _, err := next(); err != nil {
				return
			}
			if reused && silent.Load() {
				continue
			}
			<-respond
			_, _ = io.WriteString(conn, okResponse)
			reused = true
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
	close(respond)
	all.Wait()
	assert.Equal(t, pool.Stats().Idle, kept)
	silent.Store(true)
	ctx := &manualDeadlineContext{t.Context(), make(chan struct{})}
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
