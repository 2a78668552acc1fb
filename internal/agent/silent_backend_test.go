package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// silencedBackend answers the given number of grant messages with a reading of
// its clock, then accepts messages without answering any. The first message
// asks for a reading, the second replaces an earlier process's grants.
type silencedBackend struct {
	answers atomic.Int32
	start   time.Time
}

func (b *silencedBackend) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go b.serve(far)
	return near, nil
}

func (b *silencedBackend) serve(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		var message backendapi.Grants
		if json.NewDecoder(request.Body).Decode(&message) != nil {
			return
		}
		if b.answers.Add(-1) < 0 {
			continue
		}
		body, _ := json.Marshal(backendapi.Reading{Boot: "b", ClockMilliseconds: time.Since(b.start).Milliseconds(), Sequence: message.Sequence})
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// startSilencedHarness runs an agent's control goroutine in virtual time with a
// silencedBackend. It must be called in a synctest bubble, and the returned
// function at the bubble's end.
func startSilencedHarness(t *testing.T, answers int32) (r *harness, end func()) {
	t.Helper()
	agent, err := New(Config{
		Name: "one", Listen: "127.0.0.1:0", Controllers: []string{"127.0.0.1:1"}, DataFolder: t.TempDir(),
		BackendAddress: "127.0.0.1:1", Log: slog.New(slog.NewTextHandler(newTestWriter(t), nil)),
	})
	assert.NilError(t, err)
	backEnd := &silencedBackend{start: time.Now()}
	backEnd.answers.Store(answers)
	agent.controlPool.Close()
	agent.controlPool, err = upstream.New(upstream.Config{Address: "back end", MaxConnections: controlConnections, MinWarm: -1, Dial: backEnd.dial})
	assert.NilError(t, err)
	agent.backend = backendapi.New(agent.controlPool, "back end")

	r = &harness{t: t, self: self, agent: agent, controller: &fakeController{agent: agent}}
	r.controller.renewInterval.Store(int64(testRenewInterval))
	agent.subscription = r.controller
	ctx, stop := context.WithCancel(context.Background())
	agent.background.Go(func() { r.renew(ctx) })
	go func() {
		defer close(agent.stopped)
		newControlLoop(agent).run(ctx)
	}()
	agent.onWelcome(wire.Welcome{Backend: self, Service: shard.Service})
	return r, func() {
		stop()
		<-agent.stopped
		agent.background.Wait()
		assert.NilError(t, agent.closeResources())
	}
}

// waitVirtual waits in virtual time and returns the reading of the agent's
// clock at which the condition became true.
func (r *harness) waitVirtual(what string, condition func() bool, limit time.Duration) time.Duration {
	r.t.Helper()
	for !condition() {
		assert.Assert(r.t, r.agent.now() <= limit, "no %s within %v", what, limit)
		time.Sleep(time.Millisecond)
	}
	return r.agent.now()
}

// grantsEndBy returns when all grants have ended as far as the agent knows.
func (r *harness) grantsEndBy() (ends time.Duration) {
	r.askLoop(func(control *controlLoop) bool {
		ends = control.grants.AllExpiredBy()
		return true
	})
	return ends
}

// TestASilentBackEndsShardIsReleased: the back end stops answering after a
// number of messages, and half a lease later the shard is to be released.
// Grants of this process end with its lease. Grants of an earlier process may
// be in force until the longest lease that the settings allow has passed,
// unless a message has replaced them. Neither the shard nor the lease may be
// released before all these grants have ended, and both must be released then.
func TestASilentBackEndsShardIsReleased(t *testing.T) {
	const earlierEnd = 62 * time.Second // a minute, extended by the bound of clock drift
	for name, silence := range map[string]struct {
		answers       int32
		after, before time.Duration // all grants end
	}{
		"silent from the start":              {0, earlierEnd, earlierEnd},
		"after a reading":                    {1, earlierEnd, earlierEnd},
		"after earlier grants were replaced": {2, testLease / 2, testLease + testRenewInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, end := startSilencedHarness(t, silence.answers)
				defer end()
				time.Sleep(testLease / 10)
				r.applyShard(1, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
				time.Sleep(testLease / 2)
				ends := r.grantsEndBy()
				assert.Assert(t, silence.after <= ends && ends <= silence.before, "all grants end after %v", ends)
				r.applyShard(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Epoch: 1, Target: other})
				released := r.waitVirtual("release", func() bool { return r.controller.releasedShard(shard) != nil }, ends+2*tickInterval)
				assert.Assert(t, released >= ends, "released after %v, while grants may be in force until %v", released, ends)
				// The lease may be renewed, and the grants extended with it, until
				// the agent finds the back end unreachable.
				released = r.waitVirtual("release of the lease", r.controller.hasReleased, ends+testLease+2*tickInterval)
				assert.Assert(t, released >= r.grantsEndBy(), "lease released after %v", released)
			})
		})
	}
}
