package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// ciEnding is long enough for more sends than are allowed: on a fleet that does not hold such
// requests back, seed 1 had 15 back ends ended under two requests, four and five of them three
// seconds and more after the third.
const ciEnding = 20 * time.Second

// Requests that end each back end that begins them are brought to all gateways, which stand
// still by turns, and others are served.
func TestRequestsThatEndBackEndsAreHeldBack(t *testing.T) {
	program := buildProgram(t)
	for _, grants := range []Grants{ByCall, ByHeartbeat} {
		report, err := Soak(t.Context(), Config{Seed: 1, Duration: ciEnding, Program: program, Grants: grants, Kinds: []string{string(GatewayFreeze)}, Ending: 2})
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(report.Violations, "\n"), "", "keys by %s", grants)
		assert.Assert(t, report.Answered > 0 && report.EndedUnder > 0, "%+v", report)
	}
}

// The checker finds a request that is sent too often, and none that had begun before its third
// end was known.
func TestTheCheckerCountsSendsAfterTheThirdEnd(t *testing.T) {
	began := time.Now()
	for name, test := range map[string]struct {
		seconds []float64
		broken  bool
	}{
		"three in all":                   {[]float64{0, 1, 2}, false},
		"many before they are known":     {[]float64{0, 1, 2, 2.1, 2.2, 2.3, 4.9}, false},
		"as many as are allowed after":   {[]float64{0, 1, 2, 6, 7, 8}, false},
		"one more than is allowed":       {[]float64{0, 1, 2, 6, 7, 8, 9}, true},
		"the wait counts from the third": {[]float64{0, 1, 9, 10, 11, 11.5, 11.9}, false},
	} {
		f := &fleet{Fleet: &platformstandin.Fleet{Ledger: platformstandin.NewLedger()}}
		e := newEnding(f, 1)
		for _, second := range test.seconds {
			e.ends["/k/ends-0"] = append(e.ends["/k/ends-0"], began.Add(time.Duration(second*float64(time.Second))))
		}
		all, most := e.check()
		assert.Equal(t, all, len(test.seconds), name)
		assert.Equal(t, most, len(test.seconds), name)
		assert.Equal(t, len(f.Ledger.Violations()) > 0, test.broken, name)
	}
}
