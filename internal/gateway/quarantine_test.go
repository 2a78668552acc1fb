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

// digestOfHops is the name of the request that twoHops.request makes.
func digestOfHops() quarantine.Digest {
	return (&quarantine.Request{Service: "s", Method: http.MethodPost, Host: "h", Target: "/a/b", Body: []byte("body")}).Digest()
}

// suspectView is a leader's view with one suspect.
func suspectView(index uint64, suspect quarantine.Suspect) *fleetwire.View {
	return &fleetwire.View{QuarantineIndex: index, Suspects: []quarantine.Suspect{suspect}}
}

// endOf is the end of a life with one request at work.
func endOf(life string, request quarantine.Digest) quarantine.Ended {
	return quarantine.Ended{Life: life, Service: "s", Requests: []quarantine.Digest{request}}
}

// visit sends the request of twoHops and returns the status and the runs that it caused.
func (h *twoHops) visit(t *testing.T, id string) (status int, body string) {
	t.Helper()
	response, err := http.DefaultClient.Do(h.request(t.Context(), t, id))
	assert.NilError(t, err)
	defer response.Body.Close()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, strings.TrimSpace(content.String())
}

func startCountedHops(t *testing.T) (*twoHops, *atomic.Int32) {
	t.Helper()
	var runs atomic.Int32
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 2 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerWhole(w, r)
	}))
	return hops, &runs
}

// What the gateway beside the caller does not know of, the one beside the back end does: a
// suspect without a trial is not sent, at either.
func TestASuspectRunsAtNoGatewayWithoutATrial(t *testing.T) {
	for name, knows := range map[string]func(*twoHops) *Gateway{
		"beside the caller":   func(h *twoHops) *Gateway { return h.near },
		"beside the back end": func(h *twoHops) *Gateway { return h.far },
	} {
		t.Run(name, func(t *testing.T) {
			hops, runs := startCountedHops(t)
			knows(hops).quarantine.hear([]quarantine.Ended{endOf("j", digestOfHops())})
			status, body := hops.visit(t, "r1")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, body, string(reasonAwaitsTrial))
			assert.Equal(t, runs.Load(), int32(0))
		})
	}
}

// A held request is refused at once, with a time to come back far away.
func TestAHeldRequestIsRefusedAtOnce(t *testing.T) {
	hops, runs := startCountedHops(t)
	advance(t, hops.near.views, suspectView(7, quarantine.Suspect{Request: digestOfHops(), Ends: quarantine.ManyEnds, FailedTrials: 2}))
	began := steady.Reading()
	status, body := hops.visit(t, "r1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, string(reasonHeldBack))
	assert.Assert(t, steady.Elapsed(began) < longestTrialWait)
	assert.Equal(t, runs.Load(), int32(0))
}

// A trial that the leader grants lets a waiting request pass both gateways, and the leader is
// told that it was answered. Until its view says so, the gateways on its way know; another end
// under it, told by the leader or by a gateway, counts anew.
func TestATrialLetsOneRequestPass(t *testing.T) {
	hops, runs := startCountedHops(t)
	suspect := quarantine.Suspect{Request: digestOfHops(), Ends: 1}
	for _, g := range []*Gateway{hops.near, hops.far} {
		advance(t, g.views, suspectView(7, suspect))
	}
	suspect.Trial = &quarantine.Trial{Node: "near", Boot: hops.near.session.boot, Number: 8}
	advance(t, hops.near.views, suspectView(8, suspect))
	status, _ := hops.visit(t, "r1")
	assert.Equal(t, status, http.StatusOK)
	status, _ = hops.visit(t, "r2")
	assert.Equal(t, status, http.StatusOK, "cleared here by its answer")
	assert.Equal(t, runs.Load(), int32(2))
	for _, g := range []*Gateway{hops.near, hops.far} {
		told := g.quarantine.report(g.views.load(), g.config.Name, g.session.boot)
		assert.DeepEqual(t, told.Answered, []quarantine.Digest{digestOfHops()})
	}
	suspect.Ends, suspect.Trial = 2, nil
	advance(t, hops.near.views, suspectView(9, suspect))
	status, _ = hops.visit(t, "r3")
	assert.Equal(t, status, http.StatusServiceUnavailable, "another end, by the leader's word")
	for _, g := range []*Gateway{hops.near, hops.far} {
		advance(t, g.views, &fleetwire.View{QuarantineIndex: 10})
	}
	status, _ = hops.visit(t, "r4")
	assert.Equal(t, status, http.StatusOK, "cleared by the leader")
	hops.far.quarantine.hear([]quarantine.Ended{endOf("k", digestOfHops())})
	status, _ = hops.visit(t, "r5")
	assert.Equal(t, status, http.StatusServiceUnavailable, "another end, by a gateway's word")
	assert.Equal(t, runs.Load(), int32(3))
}

// Trials of other gateways, and of an earlier process of this one, are not used; one that
// nobody waits for is given back, and not used any more.
func TestOnlyThisProcessesTrialsAreUsed(t *testing.T) {
	request := digestOfHops()
	v := newViews()
	var k quarantineKeeper
	for i, granted := range []quarantine.Trial{{Node: "other", Boot: 1}, {Node: "n", Boot: 2}, {Node: "n", Boot: 1}} {
		granted.Number = uint64(10 + i)
		advance(t, v, suspectView(granted.Number, quarantine.Suspect{Request: request, Ends: 1, Trial: &granted}))
		_, ok := k.take(request, v.load(), "n", 1)
		assert.Equal(t, ok, i == 2, "%+v", granted)
	}
	granted := quarantine.Trial{Node: "n", Boot: 1, Number: 20}
	advance(t, v, suspectView(20, quarantine.Suspect{Request: request, Ends: 1, Trial: &granted}))
	told := k.report(v.load(), "n", 1)
	assert.DeepEqual(t, told.Over, []quarantine.Over{{Request: request, Number: 20}})
	_, ok := k.take(request, v.load(), "n", 1)
	assert.Assert(t, !ok)
}

// An end is told until the leader's set has counted it, and then suspects by the leader's word
// alone: one that was cleared meanwhile runs again.
func TestAnEndIsToldUntilTheLeaderKnowsIt(t *testing.T) {
	request := digestOfHops()
	v := newViews()
	var k quarantineKeeper
	k.hear([]quarantine.Ended{endOf("i", request), endOf("i", request)})
	for range 2 {
		assert.Equal(t, len(k.report(v.load(), "n", 1).Ended), 1)
	}
	assert.Equal(t, k.of(request, v.load()), onTrial)
	k.confirm([]string{"i"})
	assert.Equal(t, k.of(request, v.load()), unsuspected)
	assert.Assert(t, k.report(v.load(), "n", 1) == nil)
}

// The requests of a visit whose back end ended come again in the same visit only where they
// are likelier innocent than not, and may have an owner at once.
func TestAVisitEndsWithItsBackEndWhereTheRequestIsTheLikelyCause(t *testing.T) {
	for name, test := range map[string]struct {
		result forwardResult
		trial  uint64
		keyed  bool
		want   bool
	}{
		"alone":         {result: forwardResult{Reason: reasonEnded, AtWork: 1}, want: true},
		"one of many":   {result: forwardResult{Reason: reasonEnded, AtWork: 2}},
		"on trial":      {result: forwardResult{Reason: reasonEnded, AtWork: 2}, trial: 4, want: true},
		"with a key":    {result: forwardResult{Reason: reasonEnded, AtWork: 9}, keyed: true, want: true},
		"only cut off":  {result: forwardResult{Reason: reasonBroken}, keyed: true},
		"nobody counts": {result: forwardResult{Reason: reasonEnded}, want: true},
	} {
		c := &call{service: &routeconfig.Service{Keyed: test.keyed}}
		assert.Equal(t, endedUnder(c, &test.result, test.trial), test.want, name)
	}
}

// A gateway tells all others of an end, without a leader.
func TestAnEndIsToldToOtherGatewaysWithoutALeader(t *testing.T) {
	hops, _ := startCountedHops(t)
	request := digestOfHops()
	hops.near.tellEnd("j", []cutRun{{id: "r", request: request}})
	for range 500 {
		if hops.far.quarantine.of(request, hops.far.views.load()) == onTrial {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the other gateway was not told")
}

// What no gateway sends as an end is refused, and suspects nothing.
func TestEndsThatCannotBeReadAreRefused(t *testing.T) {
	hops, _ := startCountedHops(t)
	encode := func(ended []quarantine.Ended) []byte {
		var body bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&body).Encode(ended))
		return body.Bytes()
	}
	request := digestOfHops()
	many := make([]quarantine.Ended, mostNewsEnds+1)
	for i := range many {
		many[i] = endOf("j", request)
	}
	whole := encode([]quarantine.Ended{endOf("j", request)})
	for name, test := range map[string]struct {
		body   []byte
		status int
	}{
		"cut short":      {whole[:len(whole)-3], http.StatusBadRequest},
		"no gob":         {[]byte("{}"), http.StatusBadRequest},
		"too many":       {encode(many), http.StatusBadRequest},
		"too long":       {make([]byte, mostNews+1), http.StatusBadRequest},
		"without a life": {encode([]quarantine.Ended{endOf("", request)}), http.StatusNoContent},
	} {
		recorder := httptest.NewRecorder()
		hops.far.takeEnds(recorder, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(test.body)))
		assert.Equal(t, recorder.Code, test.status, name)
		assert.Equal(t, hops.far.quarantine.of(request, hops.far.views.load()), unsuspected, name)
	}
}

// The gateway of the caller learns from the try's result that the back end has ended, before
// it is told so: the request is suspected from then on, and by what it is told later on.
func TestARequestIsSuspectedBeforeTheWordOfItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := digestOfHops()
		v := newViews()
		var k quarantineKeeper
		k.expect(request, steady.Now())
		assert.Assert(t, k.suspects(v.load()))
		assert.Equal(t, k.of(request, v.load()), onTrial)
		time.Sleep(endExpected)
		assert.Equal(t, k.of(request, v.load()), unsuspected)
		k.expect(request, steady.Now())
		k.hear([]quarantine.Ended{endOf("i", request)})
		time.Sleep(endExpected)
		assert.Equal(t, k.of(request, v.load()), onTrial)
		k.report(v.load(), "n", 1)
		assert.Equal(t, len(k.expected), 0)
	})
}
