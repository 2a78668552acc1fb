package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/platformstandin"
	// The program is built from the adapter; the import lets a cached result of
	// this test end with any change of it.
	_ "github.com/quartzdock/quartzdock/platform"
)

func TestASeedAlwaysDrawsTheSameStrikes(t *testing.T) {
	first := Draw(7, time.Minute, nil)
	assert.DeepEqual(t, first, Draw(7, time.Minute, nil))
	assert.Assert(t, len(first) > 20, "%d strikes", len(first))
	assert.Assert(t, !slices.Equal(first, Draw(8, time.Minute, nil)))
	for _, strike := range Draw(7, time.Minute, []Kind{BackendCrash}) {
		assert.Equal(t, strike.Kind, BackendCrash)
	}
}

// The fleet bears one lost disk at a time.
func TestLostDisksKeepTheirDistance(t *testing.T) {
	for seed := range uint64(50) {
		last := -wipePause
		for _, strike := range Draw(seed, 2*time.Minute, []Kind{ControllerWipe}) {
			if strike.Kind != ControllerWipe {
				continue
			}
			assert.Assert(t, strike.At >= last+wipePause, "seed %d: %v after %v", seed, strike.At, last)
			last = strike.At
		}
	}
}

// The checker finds each kind of broken promise that a caller can see.
func TestTheCheckerFindsBrokenAnswers(t *testing.T) {
	whole := "i-1 plain /p/x plain 4"
	answer := func(status int, seal, body string) platformstandin.Answer {
		return platformstandin.Answer{Status: status, Header: map[string][]string{"Response-Seal": {seal}}, Body: body}
	}
	cases := []struct {
		name   string
		answer platformstandin.Answer
		broken string
	}{
		{"whole", answer(200, "seal-r1", whole), ""},
		{"of another request", answer(200, "seal-r2", whole), "success of another"},
		{"without a seal", answer(200, "", whole), "success of another"},
		{"cut short", answer(200, "seal-r1", whole[:9]), "part of its answer"},
		{"denied", answer(404, "", "no-route"), "denied"},
		{"unknown", answer(502, "", "broken-off"), ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			found := check(platformstandin.NewLedger(), "r1", test.answer)
			if test.broken == "" {
				assert.Equal(t, found, "")
				return
			}
			assert.Assert(t, strings.Contains(found, test.broken), "%q", found)
		})
	}
}

func namesOf(kinds []Kind) []string {
	var names []string
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return names
}

// ciSoak is a share of the soak that CI has time for.
const ciSoak = 6 * time.Second

// Seeds that once broke a promise: 5 granted the keys of a life of a back end to
// the next one under the same fence, and 6 promised that a request had not run
// that had. Both needed 40 s; the share keeps their kinds together. 702, keys by heartbeat,
// took another writer's heartbeat for the back end's at a gateway that had just restarted,
// and gave keys away that were held; it needed 12 s.
func TestStrikesBreakNoPromise(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range []uint64{5, 6, 702} {
		for _, grants := range []Grants{ByCall, ByHeartbeat} {
			report, err := Soak(t.Context(), Config{Seed: seed, Duration: ciSoak, Program: program, Grants: grants, Kinds: namesOf(append(slices.Clone(kinds), RollingStops))})
			assert.NilError(t, err)
			assert.Equal(t, strings.Join(report.Violations, "\n"), "", "seed %d, keys by %s", seed, grants)
			assert.Assert(t, report.Answered > 0 && report.Lines > 0 && report.Versions > 1, "%+v", report)
		}
	}
}

func TestAnUnknownWayOfGrantingKeysIsAnError(t *testing.T) {
	_, err := Soak(t.Context(), Config{Seed: 1, Duration: time.Second, Grants: "letter"})
	assert.ErrorContains(t, err, "letter")
}

// A fleet whose program does not start is told, not passed over.
func TestAProgramThatDoesNotStartIsAnError(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := Soak(ctx, Config{Seed: 1, Duration: time.Second, Program: filepath.Join(os.TempDir(), "no-such-program")})
	assert.Assert(t, err != nil)
}
