package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// mutedBackend accepts grant messages. While muted, it does not answer those
// that contain grants.
type mutedBackend struct {
	begun time.Time
	mutex sync.Mutex
	// held lists the shards that the back end would serve.
	held []string
	// epochs maps each shard to the last epoch at which it was granted.
	epochs   map[string]topology.Epoch
	sequence uint64
	muted    bool
	// lost is how many messages after the first reading are to be dropped.
	lost int
}

func (muted *mutedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/edit/") {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done() // never answers; the request counts as running
		return
	}
	if !strings.HasSuffix(r.URL.Path, "/grants") {
		_, _ = w.Write([]byte(`{}`))
		return
	}
	var message backendapi.Grants
	if json.NewDecoder(r.Body).Decode(&message) != nil {
		return
	}
	if muted.apply(message) {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(muted.reading())
}

// apply applies a grant message and reports whether it stays unanswered.
func (muted *mutedBackend) apply(message backendapi.Grants) bool {
	muted.mutex.Lock()
	defer muted.mutex.Unlock()
	if message.Boot == "" {
		return false
	}
	if muted.lost > 0 {
		muted.lost--
		return true
	}
	if muted.epochs == nil || message.Replace {
		muted.held, muted.epochs = nil, make(map[string]topology.Epoch)
	}
	for _, grant := range message.Grants {
		muted.held = append(muted.held, grant.Shard)
		muted.epochs[grant.Shard] = grant.Epoch
	}
	muted.held = slices.DeleteFunc(muted.held, func(held string) bool { return slices.Contains(message.Revoked, held) })
	muted.sequence = message.Sequence
	return muted.muted && len(message.Grants) > 0
}

func (muted *mutedBackend) reading() backendapi.Reading {
	muted.mutex.Lock()
	defer muted.mutex.Unlock()
	return backendapi.Reading{Boot: "b", ClockMilliseconds: time.Since(muted.begun).Milliseconds(), Sequence: muted.sequence}
}

func (muted *mutedBackend) epoch(shard string) topology.Epoch {
	muted.mutex.Lock()
	defer muted.mutex.Unlock()
	return muted.epochs[shard]
}

func (muted *mutedBackend) holds(shard string) bool {
	muted.mutex.Lock()
	defer muted.mutex.Unlock()
	return slices.Contains(muted.held, shard)
}

// TestGrantWithoutAnswerIsRevokedBeforeTheRelease: the back end accepted a
// grant and its answer was lost. The shard must not be released before the back
// end has ended the grant.
func TestGrantWithoutAnswerIsRevokedBeforeTheRelease(t *testing.T) {
	muted := &mutedBackend{begun: time.Now(), muted: true}
	server := httptest.NewServer(muted)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r := startAgent(t, self, strings.TrimPrefix(server.URL, "http://"), t.TempDir(), shortClockBound)
	r.applyShard(1, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	r.waitFor("the grant taken", func() bool { return muted.holds(shard.String()) })
	r.applyShard(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1})
	r.waitFor("the release", func() bool { return r.controller.releasedShard(shard) != nil })
	assert.Assert(t, !muted.holds(shard.String()), "released while the back end holds the grant")
}

// TestEarlierGrantsAreReplacedBeforeTheRelease: an agent starts while its shard
// is being moved away, and the back end still holds a grant of the previous
// agent process.
func TestEarlierGrantsAreReplacedBeforeTheRelease(t *testing.T) {
	muted := &mutedBackend{begun: time.Now(), held: []string{shard.String()}, lost: 1}
	server := httptest.NewServer(muted)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r := startAgent(t, self, strings.TrimPrefix(server.URL, "http://"), t.TempDir(), shortClockBound)
	r.applyShard(1, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1})
	r.waitFor("the release", func() bool { return r.controller.releasedShard(shard) != nil })
	assert.Assert(t, !muted.holds(shard.String()), "released while the back end holds an earlier process's grant")
}
