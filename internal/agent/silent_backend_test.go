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

// fallsSilent is a back end that answers so many messages of grants, with a
// reading, and then takes what is sent and answers nothing. The first message
// asks for a reading, the second replaces an earlier process's grants.
type fallsSilent struct {
	answers atomic.Int32
	start   time.Time
}

func (b *fallsSilent) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go b.serve(far)
	return near, nil
}

func (b *fallsSilent) serve(conn net.Conn) {
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

// startSilenced runs an agent's control goroutine on virtual time beside such a
// back end. It must be called in a bubble, and the returned function at its end.
func startSilenced(t *testing.T, answers int32) (r *rig, end func()) {
	t.Helper()
	agent, err := New(Config{
		Name: "one", Listen: "127.0.0.1:0", Controllers: []string{"127.0.0.1:1"}, DataFolder: t.TempDir(),
		BackendAddress: "127.0.0.1:1", Log: slog.New(slog.NewTextHandler(newTestWriter(t), nil)),
	})
	assert.NilError(t, err)
	backEnd := &fallsSilent{start: time.Now()}
	backEnd.answers.Store(answers)
	agent.controlPool.Close()
	agent.controlPool, err = upstream.New(upstream.Config{Address: "back end", MaxConnections: controlConnections, MinWarm: -1, Dial: backEnd.dial})
	assert.NilError(t, err)
	agent.backend = backendapi.New(agent.controlPool, "back end")

	r = &rig{t: t, self: self, agent: agent, leader: &leader{agent: agent}}
	r.leader.renewEach.Store(int64(testRenewEach))
	agent.subscription = r.leader
	ctx, stop := context.WithCancel(context.Background())
	agent.background.Go(func() { r.renew(ctx) })
	go func() {
		defer close(agent.stopped)
		newControl(agent).run(ctx)
	}()
	agent.onWelcome(wire.Welcome{Backend: self, Service: shard.Service})
	return r, func() {
		stop()
		<-agent.stopped
		agent.background.Wait()
		assert.NilError(t, agent.release())
	}
}

// whenVirtually waits on virtual time, and returns by the agent's clock when the
// condition held.
func (r *rig) whenVirtually(what string, condition func() bool, limit time.Duration) time.Duration {
	r.t.Helper()
	for !condition() {
		assert.Assert(r.t, r.agent.now() <= limit, "no %s within %v", what, limit)
		time.Sleep(time.Millisecond)
	}
	return r.agent.now()
}

// grantsEndBy is when the agent takes all grants for ended.
func (r *rig) grantsEndBy() (ends time.Duration) {
	r.controls(func(control *controlLoop) bool {
		ends = control.grants.AllEndBy()
		return true
	})
	return ends
}

// TestASilentBackEndsShardIsReleased: the back end falls silent after so many
// answers, and the shard is to be released half a lease later. What this process
// granted ends with its lease. What an earlier process may have granted ends with
// the longest lease that settings allow, unless a message has replaced it. Neither
// the shard nor the lease is released before all that has ended, and both are then.
func TestASilentBackEndsShardIsReleased(t *testing.T) {
	const earlierEnd = 62 * time.Second // a minute, with the bound of drift
	for name, silence := range map[string]struct {
		answers       int32
		after, before time.Duration // all grants end
	}{
		"silent from the start":              {0, earlierEnd, earlierEnd},
		"after a reading":                    {1, earlierEnd, earlierEnd},
		"after earlier grants were replaced": {2, testLease / 2, testLease + testRenewEach},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, end := startSilenced(t, silence.answers)
				defer end()
				time.Sleep(testLease / 10)
				r.give(1, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
				time.Sleep(testLease / 2)
				ends := r.grantsEndBy()
				assert.Assert(t, silence.after <= ends && ends <= silence.before, "all grants end after %v", ends)
				r.give(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Epoch: 1, Target: other})
				released := r.whenVirtually("release", func() bool { return r.leader.releasedShard(shard) != nil }, ends+2*tickInterval)
				assert.Assert(t, released >= ends, "released after %v, while grants may be in force until %v", released, ends)
				// The lease may be renewed, and grants with it, until the agent
				// gives the back end up.
				released = r.whenVirtually("release of the lease", r.leader.hasReleased, ends+testLease+2*tickInterval)
				assert.Assert(t, released >= r.grantsEndBy(), "lease released after %v", released)
			})
		})
	}
}
