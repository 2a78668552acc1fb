package platformstandin

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// arriveEvenly notes arrivals at an instance, from a machine that was told of its limit.
func arriveEvenly(l *limits, from time.Time, length time.Duration, perSecond float64) {
	l.begins("r", "m")
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(float64(time.Second) / perSecond)) {
		l.arrives("i", "r", at)
	}
}

// The check finds an instance that gets more than it states, also where the limit is lifted or
// changed afterwards, and only then.
func TestExceededLimitsAreFound(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	none := math.NaN()
	for _, test := range []struct {
		name      string
		told      time.Time
		stated    []statedLimit
		perSecond float64
		findings  int
	}{
		{"kept", at(0), []statedLimit{{5, at(0)}}, 7, 0},
		{"exceeded", at(0), []statedLimit{{5, at(0)}}, 10, 1},
		{"exceeded, then lifted", at(0), []statedLimit{{5, at(0)}, {none, at(9)}}, 10, 1},
		{"exceeded, then lowered", at(0), []statedLimit{{5, at(0)}, {1, at(9)}}, 10, 1},
		{"lifted soon", at(0), []statedLimit{{5, at(0)}, {none, at(6)}}, 10, 0},
		{"stated again", at(0), []statedLimit{{5, at(0)}, {none, at(2)}, {5, at(5)}}, 10, 0},
		{"not told", at(20), []statedLimit{{5, at(0)}}, 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLimits()
			for _, stated := range test.stated {
				l.states("i", stated.perSecond, stated.from)
			}
			l.passedOn("m", "i", "5", test.told)
			arriveEvenly(l, at(1), 10*time.Second, test.perSecond)
			assert.Equal(t, len(l.findings()), test.findings, "%v", l.findings())
		})
	}
}

// A machine that has passed on a malformed statement alone can't know of the limit that was stated while it
// passed on nothing.
func TestMalformedStatementTellsNoLimit(t *testing.T) {
	for text, findings := range map[string]int{"7,5": 0, "": 0, "0.5": 1} {
		l, start := newLimits(), time.Now()
		l.states("i", 0.5, start)
		l.passedOn("m", "i", text, start)
		arriveEvenly(l, start.Add(time.Second), 10*time.Second, 10)
		assert.Equal(t, len(l.findings()), findings, "%q", text)
	}
}
