package upstream

import (
	"context"
	"net"
	"runtime"
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
