package gateway

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// hopsDigest is the digest of the request that twoHops.request makes.
func hopsDigest() quarantine.Digest {
	return (&quarantine.Request{Service: "s", Method: http.MethodPost, Host: "h", Target: "/a/b", Body: []byte("body")}).Digest()
}

// suspectView is a view of the leader with one suspect.
func suspectView(index uint64, suspect quarantine.Suspect) *fleetwire.View {
	return &fleetwire.View{QuarantineIndex: index, Suspects: []quarantine.Suspect{suspect}}
}

// crashOf is the crash of an incarnation with one request in progress.
func crashOf(incarnation string, digest quarantine.Digest) quarantine.Ended {
	return quarantine.Ended{Life: incarnation, Service: "s", Requests: []quarantine.Digest{digest}}
}

// sendRequest sends the request of twoHops and returns the status and the body of the
// response.
func (h *twoHops) sendRequest(t *testing.T, id string) (status int, body string) {
	t.Helper()
	response, err := http.DefaultClient.Do(h.request(t.Context(), t, id))
	assert.NilError(t, err)
	defer response.Body.Close()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, strings.TrimSpace(content.String())
}

func startCountingHops(t *testing.T) (*twoHops, *atomic.Int32) {
	t.Helper()
	var runs atomic.Int32
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 2 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		serveComplete(w, r)
	}))
	return hops, &runs
}

// A suspect without a trial must be stopped by either gateway: its caller's local gateway or,
// if that one does not know of the suspicion, the back end's local gateway.
func TestSuspectWithoutTrialIsStoppedByEitherGateway(t *testing.T) {
	for name, informed := range map[string]func(*twoHops) *Gateway{
		"of the caller":   func(h *twoHops) *Gateway { return h.near },
		"of the back end": func(h *twoHops) *Gateway { return h.far },
	} {
		t.Run(name, func(t *testing.T) {
			hops, runs := startCountingHops(t)
			informed(hops).quarantine.addCrashes([]quarantine.Ended{crashOf("j", hopsDigest())})
			status, body := hops.sendRequest(t, "r1")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, body, string(reasonAwaitsTrial))
			assert.Equal(t, runs.Load(), int32(0))
		})
	}
}

// A quarantined request is refused immediately, with a long retry time.
func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	hops, runs := startCountingHops(t)
	advance(t, hops.near.views, suspectView(7, quarantine.Suspect{Request: hopsDigest(), Ends: quarantine.LikelyCauseCrashes, FailedTrials: 2}))
	began := steady.Reading()
	status, body := hops.sendRequest(t, "r1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, string(reasonQuarantined))
	assert.Assert(t, steady.Elapsed(began) < maxTrialWait)
	assert.Equal(t, runs.Load(), int32(0))
}

// A trial granted by the leader admits a waiting request at both gateways, and both report its
// response to the leader. They clear the suspect before the leader's view does. Another crash
// during the request, reported by the leader or by a gateway, makes it a suspect again.
func TestTrialAdmitsSuspect(t *testing.T) {
	hops, runs := startCountingHops(t)
	suspect := quarantine.Suspect{Request: hopsDigest(), Ends: 1}
	for _, g := range []*Gateway{hops.near, hops.far} {
		advance(t, g.views, suspectView(7, suspect))
	}
	suspect.Trial = &quarantine.Trial{Node: "near", Boot: hops.near.session.boot, Number: 8}
	advance(t, hops.near.views, suspectView(8, suspect))
	status, _ := hops.sendRequest(t, "r1")
	assert.Equal(t, status, http.StatusOK)
	status, _ = hops.sendRequest(t, "r2")
	assert.Equal(t, status, http.StatusOK, "cleared locally by its response")
	assert.Equal(t, runs.Load(), int32(2))
	for _, g := range []*Gateway{hops.near, hops.far} {
		change := g.quarantine.report(g.views.load(), g.config.Name, g.session.boot)
		assert.DeepEqual(t, change.Answered, []quarantine.Digest{hopsDigest()})
	}
	suspect.Ends, suspect.Trial = 2, nil
	advance(t, hops.near.views, suspectView(9, suspect))
	status, _ = hops.sendRequest(t, "r3")
	assert.Equal(t, status, http.StatusServiceUnavailable, "another crash, reported by the leader")
	for _, g := range []*Gateway{hops.near, hops.far} {
		advance(t, g.views, &fleetwire.View{QuarantineIndex: 10})
	}
	status, _ = hops.sendRequest(t, "r4")
	assert.Equal(t, status, http.StatusOK, "cleared by the leader")
	hops.far.quarantine.addCrashes([]quarantine.Ended{crashOf("k", hopsDigest())})
	status, _ = hops.sendRequest(t, "r5")
	assert.Equal(t, status, http.StatusServiceUnavailable, "another crash, reported by a gateway")
	assert.Equal(t, runs.Load(), int32(3))
}

// Trials of other gateways and of an earlier process of this one must not be used. A trial
// that no caller waits for is returned and not used afterwards.
func TestOnlyTrialsOfThisProcessAreUsed(t *testing.T) {
	digest := hopsDigest()
	v := newViewStore()
	var k quarantineTracker
	for i, granted := range []quarantine.Trial{{Node: "other", Boot: 1}, {Node: "n", Boot: 2}, {Node: "n", Boot: 1}} {
		granted.Number = uint64(10 + i)
		advance(t, v, suspectView(granted.Number, quarantine.Suspect{Request: digest, Ends: 1, Trial: &granted}))
		_, ok := k.claimTrial(digest, v.load(), "n", 1)
		assert.Equal(t, ok, i == 2, "%+v", granted)
	}
	granted := quarantine.Trial{Node: "n", Boot: 1, Number: 20}
	advance(t, v, suspectView(20, quarantine.Suspect{Request: digest, Ends: 1, Trial: &granted}))
	change := k.report(v.load(), "n", 1)
	assert.DeepEqual(t, change.Over, []quarantine.Over{{Request: digest, Number: 20}})
	_, ok := k.claimTrial(digest, v.load(), "n", 1)
	assert.Assert(t, !ok)
}

// A crash is reported until the leader's set contains it. From then on only the leader's view
// decides, so that a request cleared in the meantime may run.
func TestCrashIsReportedUntilLeaderConfirms(t *testing.T) {
	digest := hopsDigest()
	v := newViewStore()
	var k quarantineTracker
	k.addCrashes([]quarantine.Ended{crashOf("i", digest), crashOf("i", digest)})
	for range 2 {
		assert.Equal(t, len(k.report(v.load(), "n", 1).Ended), 1)
	}
	assert.Equal(t, k.suspicionOf(digest, v.load()), trialOnly)
	k.confirm([]string{"i"})
	assert.Equal(t, k.suspicionOf(digest, v.load()), notSuspected)
	assert.Assert(t, k.report(v.load(), "n", 1) == nil)
}

// A request whose back end crashed is retried for the same caller only if it is probably not
// the cause of the crash and an owner may be found in time.
func TestProbableCauseOfCrashIsNotRetried(t *testing.T) {
	for name, test := range map[string]struct {
		result forwardResult
		trial  uint64
		keyed  bool
		want   bool
	}{
		"alone":            {result: forwardResult{Reason: reasonBackendCrashed, RequestsRunning: 1}, want: true},
		"one of many":      {result: forwardResult{Reason: reasonBackendCrashed, RequestsRunning: 2}},
		"on trial":         {result: forwardResult{Reason: reasonBackendCrashed, RequestsRunning: 2}, trial: 4, want: true},
		"with a key":       {result: forwardResult{Reason: reasonBackendCrashed, RequestsRunning: 9}, keyed: true, want: true},
		"connection broke": {result: forwardResult{Reason: reasonInterrupted}, keyed: true},
		"number unknown":   {result: forwardResult{Reason: reasonBackendCrashed}, want: true},
	} {
		c := &call{service: &routeconfig.Service{Keyed: test.keyed}}
		assert.Equal(t, finalAfterCrash(c, &test.result, test.trial), test.want, name)
	}
}

// A gateway notifies all others of a crash even if there is no leader.
func TestCrashNoticeReachesPeersWithoutLeader(t *testing.T) {
	hops, _ := startCountingHops(t)
	digest := hopsDigest()
	hops.near.reportCrash("j", []interruptedRun{{id: "r", digest: digest}})
	for range 500 {
		if hops.far.quarantine.suspicionOf(digest, hops.far.views.load()) == trialOnly {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the other gateway did not get the notice")
}

// A malformed notice is rejected and makes no request a suspect.
func TestMalformedCrashNoticeIsRejected(t *testing.T) {
	hops, _ := startCountingHops(t)
	encode := func(crashes []quarantine.Ended) []byte {
		var body bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&body).Encode(crashes))
		return body.Bytes()
	}
	digest := hopsDigest()
	tooMany := make([]quarantine.Ended, maxNoticeCrashes+1)
	for i := range tooMany {
		tooMany[i] = crashOf("j", digest)
	}
	valid := encode([]quarantine.Ended{crashOf("j", digest)})
	for name, test := range map[string]struct {
		body   []byte
		status int
	}{
		"truncated":              {valid[:len(valid)-3], http.StatusBadRequest},
		"not gob":                {[]byte("{}"), http.StatusBadRequest},
		"too many crashes":       {encode(tooMany), http.StatusBadRequest},
		"too large":              {make([]byte, maxNoticeBytes+1), http.StatusBadRequest},
		"without an incarnation": {encode([]quarantine.Ended{crashOf("", digest)}), http.StatusNoContent},
	} {
		recorder := httptest.NewRecorder()
		hops.far.receiveCrashes(recorder, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(test.body)))
		assert.Equal(t, recorder.Code, test.status, name)
		assert.Equal(t, hops.far.quarantine.suspicionOf(digest, hops.far.views.load()), notSuspected, name)
	}
}

// The caller's gateway learns of the crash from the result of the attempt, before the notice
// arrives. The request must be suspected from then on, and continue to be after the notice.
func TestRequestIsSuspectedBeforeCrashNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		digest := hopsDigest()
		v := newViewStore()
		var k quarantineTracker
		k.expectCrash(digest, steady.Now())
		assert.Assert(t, k.suspects(v.load()))
		assert.Equal(t, k.suspicionOf(digest, v.load()), trialOnly)
		time.Sleep(expectedCrashLifetime)
		assert.Equal(t, k.suspicionOf(digest, v.load()), notSuspected)
		k.expectCrash(digest, steady.Now())
		k.addCrashes([]quarantine.Ended{crashOf("i", digest)})
		time.Sleep(expectedCrashLifetime)
		assert.Equal(t, k.suspicionOf(digest, v.load()), trialOnly)
		k.report(v.load(), "n", 1)
		assert.Equal(t, len(k.expectedCrashes), 0)
	})
}
