package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
)

// incarnationReport is one report about the back end at node-0, or an election.
type incarnationReport struct {
	// reported is the reported incarnation; nil stands for the election of a new leader.
	reported *fleetwire.Instance
	// earlierReleased is set if the gateway confirms that earlier incarnations hold no keys.
	earlierReleased bool
}

// Reports of two incarnations arrive in any order, delayed or repeated, with changes of leader
// between them. The earlier incarnation keeps its keys until the gateway confirms that they are
// released, or until every lease has expired. The current incarnation is the one that was
// reported last, except for delayed reports to the same leader.
func TestKeysOfEarlierIncarnationForAnyOrderOfReports(t *testing.T) {
	earlier, next := instance(0, 0), instance(0, 1)
	gone := instance(0, 0)
	gone.State = fleetwire.InstanceGone
	elected := incarnationReport{}
	for name, test := range map[string]struct {
		reports []incarnationReport
		// keysMove is set if the earlier incarnation's keys go to others within a second.
		keysMove bool
	}{
		"next incarnation, release confirmed":                          {[]incarnationReport{{next, true}}, true},
		"next incarnation, release not confirmed":                      {[]incarnationReport{{next, false}}, false},
		"next incarnation, release confirmed later":                    {[]incarnationReport{{next, false}, {next, true}}, true},
		"delayed report of the earlier incarnation in between":         {[]incarnationReport{{next, false}, {earlier, true}, {next, false}}, false},
		"the same, release confirmed at last":                          {[]incarnationReport{{next, false}, {earlier, true}, {next, true}}, true},
		"next incarnation reported to a new leader":                    {[]incarnationReport{elected, {next, false}}, false},
		"next incarnation reported to a new leader, release confirmed": {[]incarnationReport{elected, {next, true}}, true},
		"leader changes before the release is confirmed":               {[]incarnationReport{{next, false}, elected, {next, false}}, false},
		"the same, release confirmed to the new leader":                {[]incarnationReport{{next, false}, elected, {next, true}}, true},
		"release confirmed only to the previous leader":                {[]incarnationReport{{gone, true}, elected, {gone, true}}, false},
		"earlier incarnation reported first to a new leader":           {[]incarnationReport{{next, false}, elected, {earlier, true}, {next, false}}, false},
		"the same, release confirmed":                                  {[]incarnationReport{{next, false}, elected, {earlier, true}, {next, true}}, true},
		"unreachable incarnation, then the next one":                   {[]incarnationReport{{gone, true}, elected, {next, false}}, false},
		"the leader changes twice":                                     {[]incarnationReport{{next, true}, elected, elected, {next, true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeader()
			other := instance(1, 0)
			l.reportFor(6*time.Second, earlier, other)
			assert.Assert(t, l.keysOf(earlier) > 0)
			// No batch is proposed before all reports have arrived.
			for _, report := range test.reports {
				if report.reported == nil {
					l.elect()
					continue
				}
				l.planner.Report(&fleetwire.Report{Boot: 1, Instance: report.reported, EarlierOver: report.earlierReleased}, l.now)
			}
			l.reportFor(time.Second, other)
			assert.Equal(t, l.keysOf(earlier) == 0, test.keysMove)
			l.reportFor(2*keylease.DefaultLeaseDuration, other)
			assert.Equal(t, l.keysOf(earlier), 0, "every lease has expired")
		})
	}
}
