package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// long is an answer too long to be verified before it is passed on.
var long = strings.Repeat("map ", 100*kibibyte)

func digestOf(content string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(content)) }

// partial answers with a stated length and breaks off in the middle.
func partial(content string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(content)))
		answered(w, content[:len(content)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestShortAnswerThatBreaksOffBecomesATypedRefusal(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, partial("0123456789")))
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonTruncated)
}

func TestShortRepeatableAnswerThatBreaksOffIsFetchedAgain(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.RetryBurst = 100 }, newAgent(t, partial("0123456789")), newAgent(t, ok))
	for range 10 {
		got := f.get("/balanced/plans")
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
		assert.Equal(t, got.body, "ok")
	}
}

// No byte of a second attempt may follow those of a first.
func TestLongAnswerThatBreaksOffIsSeenByTheCaller(t *testing.T) {
	owner := newAgent(t, partial(long))
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a")
	assert.Assert(t, got.err != nil, "the caller took %d bytes for whole", len(got.body))
	assert.Equal(t, owner.requests.Load(), int64(1))
}

func TestLongAnswerIsPassedOnWhole(t *testing.T) {
	for name, stated := range map[string]bool{"stated length": true, "chunked": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
				if stated {
					w.Header().Set("Content-Length", fmt.Sprint(len(long)))
				}
				w.Header().Set("Trailer", wire.TrailerDigest)
				answered(w, long)
				w.Header().Set(wire.TrailerDigest, digestOf(long))
			}))
			got := f.get("/keyed/plans/a")
			got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
			assert.Assert(t, got.body == long)
		})
	}
}

// The bytes changed on the way: the length fits, the digest does not.
func TestAnswerThatFailsItsDigestIsNotTakenForWhole(t *testing.T) {
	damaged := func(content string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", wire.TrailerDigest)
			answered(w, content)
			w.Header().Set(wire.TrailerDigest, digestOf("something else"))
		}
	}
	f := newFixture(t, nil, newAgent(t, damaged("short")))
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonTruncated)
	f = newFixture(t, nil, newAgent(t, damaged(long)))
	assert.Assert(t, f.get("/keyed/plans/a").err != nil)

	f = newFixture(t, nil, newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		w.Header().Set(wire.TrailerDigest, digestOf("something else"))
		answered(w, long)
	}))
	assert.Assert(t, f.get("/keyed/plans/a").err != nil, "also where the length is stated")
}

func TestCallerSeesTheDigest(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, ok))
	assert.Equal(t, f.get("/keyed/plans/a").header.Get(wire.TrailerDigest), digestOf("ok"))
}

func TestAnswersWithoutContent(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "1234")
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	got := f.send(http.MethodHead, "/keyed/plans/a", "")
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, got.header.Get("Content-Length"), "1234")
	f.send(http.MethodDelete, "/keyed/plans/a", "").check(t, http.StatusNoContent, wire.OutcomeAnswered, noReason)
}

func TestRequestBodiesArrive(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		answered(w, digestOf(string(content)))
	}))
	for name, content := range map[string]string{"empty": "", "short": "edit", "long": long} {
		got := f.send(http.MethodPut, "/keyed/plans/a", content)
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
		assert.Equal(t, got.body, digestOf(content), name)
	}
	chunked, err := http.NewRequest(http.MethodPut, f.url+"/keyed/plans/a", io.MultiReader(strings.NewReader(long)))
	assert.NilError(t, err)
	got := f.do(chunked)
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, got.body, digestOf(long), "of unstated length")
}
