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

// longBody exceeds BufferedResponseBytes and BufferedBodyBytes, so it is
// streamed.
var longBody = strings.Repeat("map ", 100*kibibyte)

func digestOf(content string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(content)) }

// respondTruncated sends a Content-Length and half of the content, then aborts
// the connection.
func respondTruncated(content string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(content)))
		respondAnswered(w, content[:len(content)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestTruncatedBufferedResponseReturnsBadGateway(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, respondTruncated("0123456789")))
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonTruncated)
}

func TestTruncatedBufferedResponseIsRetriedWhenIdempotent(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.RetryBurst = 100 }, newFakeAgent(t, respondTruncated("0123456789")), newFakeAgent(t, respondOK))
	for range 10 {
		got := f.get("/balanced/plans")
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
		assert.Equal(t, got.body, "ok")
	}
}

// Once a part of a response was relayed, a retry would append the bytes of a
// second attempt to those of the first.
func TestTruncatedStreamedResponseFailsAtTheCaller(t *testing.T) {
	owner := newFakeAgent(t, respondTruncated(longBody))
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a")
	assert.Assert(t, got.err != nil, "the caller took %d bytes for a complete response", len(got.body))
	assert.Equal(t, owner.requests.Load(), int64(1))
}

func TestStreamedResponseArrivesComplete(t *testing.T) {
	for name, stated := range map[string]bool{"stated length": true, "chunked": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
				if stated {
					w.Header().Set("Content-Length", fmt.Sprint(len(longBody)))
				}
				w.Header().Set("Trailer", wire.TrailerDigest)
				respondAnswered(w, longBody)
				w.Header().Set(wire.TrailerDigest, digestOf(longBody))
			}))
			got := f.get("/keyed/plans/a")
			got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
			assert.Assert(t, got.body == longBody)
		})
	}
}

// The response was altered in transit: the length is right, the digest is not.
func TestResponseWithWrongDigestIsRejected(t *testing.T) {
	damaged := func(content string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", wire.TrailerDigest)
			respondAnswered(w, content)
			w.Header().Set(wire.TrailerDigest, digestOf("something else"))
		}
	}
	f := newFixture(t, nil, newFakeAgent(t, damaged("short")))
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonTruncated)
	f = newFixture(t, nil, newFakeAgent(t, damaged(longBody)))
	assert.Assert(t, f.get("/keyed/plans/a").err != nil)

	f = newFixture(t, nil, newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longBody)))
		w.Header().Set(wire.TrailerDigest, digestOf("something else"))
		respondAnswered(w, longBody)
	}))
	assert.Assert(t, f.get("/keyed/plans/a").err != nil, "also with Content-Length")
}

func TestResponseCarriesDigest(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, respondOK))
	assert.Equal(t, f.get("/keyed/plans/a").header.Get(wire.TrailerDigest), digestOf("ok"))
}

func TestResponsesWithoutBody(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
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

func TestRequestBodiesAreForwarded(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		respondAnswered(w, digestOf(string(content)))
	}))
	for name, content := range map[string]string{"empty": "", "short": "edit", "long": longBody} {
		got := f.send(http.MethodPut, "/keyed/plans/a", content)
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
		assert.Equal(t, got.body, digestOf(content), name)
	}
	chunked, err := http.NewRequest(http.MethodPut, f.url+"/keyed/plans/a", io.MultiReader(strings.NewReader(longBody)))
	assert.NilError(t, err)
	got := f.do(chunked)
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, got.body, digestOf(longBody), "without Content-Length")
}
