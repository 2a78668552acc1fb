package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
)

// quickFitness judges and returns sooner than the defaults.
func quickFitness(config *Config) {
	shortClockBound(config)
	config.LoadInterval = 20 * time.Millisecond
	config.Fitness = FitnessConfig{
		FailuresInARow: 5,
		FailureSpan:    20 * time.Millisecond,
		StallMinimum:   100 * time.Millisecond,
		RestFirst:      200 * time.Millisecond,
	}
}

// TestBackEndThatFailsIsFoundByItsRequests: health and load say that all is
// well, and idle.
func TestBackEndThatFailsIsFoundByItsRequests(t *testing.T) {
	for name, misbehaviour := range map[string]string{
		"fails":    `"fail_requests":true`,
		"swallows": `"swallow_requests":true`,
		"sheds":    `"shed_requests":true`,
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, backend.Config{}, quickFitness)
			r.own(1, 1)
			r.behave(`{"claim_busy":0,` + misbehaviour + `}`)
			stop := r.keepSending(4)
			r.waitFor("release", r.leader.hasReleased)
			assert.Assert(t, !r.agent.holder.Valid(r.agent.now()))
			assert.Assert(t, r.leader.failures() > 0, "the controller is told of the failures")
			stop()

			r.behave(`{}`)
			r.waitFor("return", func() bool { return r.agent.holder.Valid(r.agent.now()) })
			r.waitFor("answer", func() bool {
				return r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 1}).outcome == wire.OutcomeAnswered
			})
		})
	}
}

// keepSending sends look-ups from several callers, each without waiting for
// long, until the returned function is called.
func (r *rig) keepSending(callers int) (stop func()) {
	var stopped atomic.Bool
	for range callers {
		go func() {
			for !stopped.Load() {
				request := r.newRequest(call{method: http.MethodGet, path: "/closures/route/k", epoch: 1,
					header: map[string]string{wire.HeaderDeadline: "400"}})
				exchange(request)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return func() { stopped.Store(true) }
}

func (leader *leader) failures() uint32 {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	return leader.failed
}

// TestOneSourcesFailuresAreNotTheBackEnds: requests of a single shard or caller
// may be at fault themselves, and would take one owner after another down.
func TestOneSourcesFailuresAreNotTheBackEnds(t *testing.T) {
	one, two := topology.ShardID{Service: 1, Shard: 1}, topology.ShardID{Service: 1, Shard: 2}
	for name, others := range map[string]failureSource{
		"one shard":  {shard: one, caller: "b"},
		"one caller": {shard: two, caller: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			judge := newFitness(FitnessConfig{}.withDefaults())
			judge.failed(0, failureSource{shard: one, caller: "a"})
			for i := range DefaultFailuresInARow {
				judge.failed(time.Duration(i)*time.Second, others)
			}
			assert.Equal(t, judge.verdict(time.Minute), "")
			judge.failed(time.Minute, failureSource{shard: two, caller: "b"})
			assert.Equal(t, judge.verdict(time.Minute), "requests fail")
			judge.succeeded(time.Minute, time.Millisecond)
			assert.Equal(t, judge.verdict(time.Minute), "")
			for range sameSourceFactor * DefaultFailuresInARow {
				judge.failed(time.Minute, failureSource{shard: one, caller: "a"})
			}
			assert.Equal(t, judge.verdict(2*time.Minute), "requests fail", "so many are not one request's fault")
		})
	}
}

func TestHastyDeadlinesAreNoFailures(t *testing.T) {
	judge := newFitness(FitnessConfig{}.withDefaults())
	for range 100 {
		judge.succeeded(0, 300*time.Millisecond)
	}
	for i := range 200 {
		judge.timedOut(time.Duration(i)*time.Second, 100*time.Millisecond, failureSource{shard: topology.ShardID{Shard: topology.ShardNumber(i)}, caller: strconv.Itoa(i)})
	}
	assert.Equal(t, judge.verdict(time.Hour), "")
}

func TestRestGrowsWithEachRelapse(t *testing.T) {
	staying := rest{config: FitnessConfig{}.withDefaults()}
	now := time.Duration(0)
	for _, expected := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		staying.begin(now)
		assert.Equal(t, staying.until-now, expected*time.Second)
		now = staying.until
	}
	now += 3 * DefaultRestLimit
	staying.begin(now)
	assert.Equal(t, staying.until-now, DefaultRestFirst)
}

// fakeBackend answers the agent's protocol and gives the rest to a handler.
type fakeBackend struct {
	*httptest.Server
	// health and load count probes; probing those that are in progress.
	health, load, probing, mostProbing atomic.Int64
}

func startFake(t testing.TB, handle http.HandlerFunc) *fakeBackend {
	t.Helper()
	fake := &fakeBackend{}
	begun := time.Now()
	routes := http.NewServeMux()
	routes.HandleFunc("PUT /_quartzdock/grants", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"boot":"b","clock_ms":%d}`, time.Since(begun).Milliseconds())
	})
	routes.HandleFunc("GET /_quartzdock/health", fake.probed(&fake.health, `{}`))
	routes.HandleFunc("GET /_quartzdock/load", fake.probed(&fake.load, `{"busy":0,"slots":4}`))
	routes.HandleFunc("/", handle)
	fake.Server = httptest.NewServer(routes)
	t.Cleanup(func() {
		fake.CloseClientConnections()
		fake.Close()
	})
	return fake
}

func (fake *fakeBackend) probed(count *atomic.Int64, answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		if now := fake.probing.Add(1); now > fake.mostProbing.Load() {
			fake.mostProbing.Store(now)
		}
		defer fake.probing.Add(-1)
		time.Sleep(6 * time.Millisecond) // what a probe costs
		_, _ = w.Write([]byte(answer))
	}
}

// startFakeRig is startRig with a fake back end.
func startFakeRig(t testing.TB, handle http.HandlerFunc, edit func(*Config)) (*rig, *fakeBackend) {
	t.Helper()
	fake := startFake(t, handle)
	r := startAgent(t, self, strings.TrimPrefix(fake.URL, "http://"), t.TempDir(), edit)
	r.own(1, 1)
	return r, fake
}

func TestOneProberPerBackEnd(t *testing.T) {
	r, fake := startFakeRig(t, func(http.ResponseWriter, *http.Request) {}, func(config *Config) {
		quickFitness(config)
		config.LoadInterval = time.Millisecond // less than a probe takes
	})
	r.waitFor("probes", func() bool { return fake.load.Load() >= 20 })
	assert.Equal(t, fake.mostProbing.Load(), int64(1))
	assert.Assert(t, fake.health.Load() <= 2, "a fit back end is not asked for its health")
}

func TestWarmingIsToldAndRepeated(t *testing.T) {
	r := startRig(t, backend.Config{ColdStart: 50 * time.Millisecond}, shortClockBound)
	r.give(1, topology.Shard{Phase: topology.ShardWarming, Owner: other, Target: self, Epoch: 1})
	r.waitFor("warmed", func() bool { return r.leader.warmed(shard) })
	seen := r.leader.sent()
	r.waitFor("repeated until the table shows it", func() bool { return r.leader.sent() > seen+1 })
	r.give(2, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 2})
	r.serves(2)
	seen = r.leader.sent()
	time.Sleep(3 * tickInterval)
	assert.Equal(t, r.leader.sent(), seen, "nothing more to tell")
}
