package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
)

// quickFitness shortens failure detection and backoff.
func quickFitness(config *Config) {
	shortClockBound(config)
	config.LoadInterval = 20 * time.Millisecond
	config.Fitness = FitnessConfig{
		ConsecutiveFailures: 5,
		FailureSpan:         20 * time.Millisecond,
		StallMinimum:        100 * time.Millisecond,
		BackoffInitial:      200 * time.Millisecond,
	}
}

// TestFailingBackEndIsDetectedByRequests: the health and load endpoints report
// a healthy, idle back end while its requests fail.
func TestFailingBackEndIsDetectedByRequests(t *testing.T) {
	for name, misbehaviour := range map[string]string{
		"fails":    `"fail_requests":true`,
		"swallows": `"swallow_requests":true`,
		"sheds":    `"shed_requests":true`,
	} {
		t.Run(name, func(t *testing.T) {
			r := startHarness(t, backend.Config{}, quickFitness)
			r.ownShard(1, 1)
			r.setBehaviour(`{"claim_busy":0,` + misbehaviour + `}`)
			stop := r.keepSending(4)
			r.waitFor("release", r.controller.hasReleased)
			assert.Assert(t, !r.agent.holder.Valid(r.agent.now()))
			assert.Assert(t, r.controller.failures() > 0, "the failures must be reported to the controller")
			stop()

			r.setBehaviour(`{}`)
			r.waitFor("return", func() bool { return r.agent.holder.Valid(r.agent.now()) })
			r.waitFor("answer", func() bool {
				return r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1}).outcome == wire.OutcomeAnswered
			})
		})
	}
}

// keepSending sends look-ups with short deadlines from several callers until
// the returned function is called.
func (r *harness) keepSending(callers int) (stop func()) {
	var stopped atomic.Bool
	for range callers {
		go func() {
			for !stopped.Load() {
				request := r.newRequest(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1,
					header: map[string]string{wire.HeaderDeadline: "400"}})
				exchange(request)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return func() { stopped.Store(true) }
}

func (controller *fakeController) failures() uint32 {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.failed
}

// TestFailuresFromOneSourceNeedMoreEvidence: the requests of a single shard or
// caller may themselves be at fault, and would make one owner after another
// fail.
func TestFailuresFromOneSourceNeedMoreEvidence(t *testing.T) {
	one, two := topology.ShardID{Service: 1, Shard: 1}, topology.ShardID{Service: 1, Shard: 2}
	for name, others := range map[string]failureSource{
		"one shard":  {shard: one, caller: "b"},
		"one caller": {shard: two, caller: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newFitness(FitnessConfig{}.withDefaults())
			tracker.failed(0, failureSource{shard: one, caller: "a"})
			for i := range DefaultConsecutiveFailures {
				tracker.failed(time.Duration(i)*time.Second, others)
			}
			assert.Equal(t, tracker.failureReason(time.Minute), "")
			tracker.failed(time.Minute, failureSource{shard: two, caller: "b"})
			assert.Equal(t, tracker.failureReason(time.Minute), "requests fail")
			tracker.succeeded(time.Minute, time.Millisecond)
			assert.Equal(t, tracker.failureReason(time.Minute), "")
			for range sameSourceFactor * DefaultConsecutiveFailures {
				tracker.failed(time.Minute, failureSource{shard: one, caller: "a"})
			}
			assert.Equal(t, tracker.failureReason(2*time.Minute), "requests fail", "after that many failures the requests can't be at fault")
		})
	}
}

func TestMissedShortDeadlinesAreNoFailures(t *testing.T) {
	tracker := newFitness(FitnessConfig{}.withDefaults())
	for range 100 {
		tracker.succeeded(0, 300*time.Millisecond)
	}
	for i := range 200 {
		tracker.timedOut(time.Duration(i)*time.Second, 100*time.Millisecond, failureSource{shard: topology.ShardID{Shard: topology.ShardNumber(i)}, caller: strconv.Itoa(i)})
	}
	assert.Equal(t, tracker.failureReason(time.Hour), "")
}

func TestBackoffDoublesWithEachFailure(t *testing.T) {
	delay := backoff{config: FitnessConfig{}.withDefaults()}
	now := time.Duration(0)
	for _, expected := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		delay.start(now)
		assert.Equal(t, delay.until-now, expected*time.Second)
		now = delay.until
	}
	now += 3 * DefaultBackoffMaximum
	delay.start(now)
	assert.Equal(t, delay.until-now, DefaultBackoffInitial)
}

// fakeBackend implements the agent's protocol and passes all other requests to
// a handler.
type fakeBackend struct {
	*httptest.Server
	// health and load count probes, concurrentProbes those in progress.
	health, load, concurrentProbes, maxConcurrentProbes atomic.Int64
}

// answerGrants answers a message of grants that is applied, as a back end that began at a time.
func answerGrants(w http.ResponseWriter, r *http.Request, begun time.Time) {
	var message backendapi.Grants
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(backendapi.Reading{Boot: "b", ClockMilliseconds: time.Since(begun).Milliseconds(), Sequence: message.Sequence})
}

func startFakeBackend(t testing.TB, handle http.HandlerFunc) *fakeBackend {
	t.Helper()
	fake := &fakeBackend{}
	begun := time.Now()
	routes := http.NewServeMux()
	routes.HandleFunc("PUT /_quartzdock/grants", func(w http.ResponseWriter, r *http.Request) { answerGrants(w, r, begun) })
	routes.HandleFunc("GET /_quartzdock/health", fake.countProbe(&fake.health, `{}`))
	routes.HandleFunc("GET /_quartzdock/load", fake.countProbe(&fake.load, `{"busy":0,"slots":4}`))
	routes.HandleFunc("/", handle)
	fake.Server = httptest.NewServer(routes)
	t.Cleanup(func() {
		fake.CloseClientConnections()
		fake.Close()
	})
	return fake
}

func (fake *fakeBackend) countProbe(count *atomic.Int64, answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		if now := fake.concurrentProbes.Add(1); now > fake.maxConcurrentProbes.Load() {
			fake.maxConcurrentProbes.Store(now)
		}
		defer fake.concurrentProbes.Add(-1)
		time.Sleep(6 * time.Millisecond) // the duration of a probe
		_, _ = w.Write([]byte(answer))
	}
}

// startFakeHarness is startHarness with a fakeBackend.
func startFakeHarness(t testing.TB, handle http.HandlerFunc, edit func(*Config)) (*harness, *fakeBackend) {
	t.Helper()
	fake := startFakeBackend(t, handle)
	r := startAgent(t, self, strings.TrimPrefix(fake.URL, "http://"), t.TempDir(), edit)
	r.ownShard(1, 1)
	return r, fake
}

func TestOneProberPerBackEnd(t *testing.T) {
	r, fake := startFakeHarness(t, func(http.ResponseWriter, *http.Request) {}, func(config *Config) {
		quickFitness(config)
		config.LoadInterval = time.Millisecond // shorter than a probe
	})
	r.waitFor("probes", func() bool { return fake.load.Load() >= 20 })
	assert.Equal(t, fake.maxConcurrentProbes.Load(), int64(1))
	assert.Assert(t, fake.health.Load() <= 2, "the health of a fit back end must not be queried")
}

func TestWarmedIsSentUntilTheTableShowsIt(t *testing.T) {
	r := startHarness(t, backend.Config{ColdStart: 50 * time.Millisecond}, shortClockBound)
	r.applyShard(1, topology.Shard{Phase: topology.ShardWarming, Owner: other, Target: self, Epoch: 1})
	r.waitFor("warmed", func() bool { return r.controller.warmed(shard) })
	seen := r.controller.sent()
	r.waitFor("repeated until the table shows it", func() bool { return r.controller.sent() > seen+1 })
	r.applyShard(2, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 2})
	r.waitServed(2)
	seen = r.controller.sent()
	time.Sleep(3 * tickInterval)
	assert.Equal(t, r.controller.sent(), seen, "a message was sent after the table showed the result")
}
