package platformstandin

import (
	"fmt"
	"strings"
	"time"
)

const (
	// lateInStop is how long after the SIGTERM a request is sent that no stop may
	// cut, and lastPart the part of the grace at whose end those sent before may be
	// given up (the platform's terms of a planned stop).
	lateInStop = 3 * time.Second
	lastPart   = 6
	// deadlineMargin is how much before its deadline a request may be given up: the
	// product keeps 5 ms at its first hop and 15 ms at each further one, the rest is
	// for the way.
	deadlineMargin = 50 * time.Millisecond
)

// Outcome is what a caller got that is no answer of a back end.
type Outcome struct {
	Request string
	// Gateway is the machine that took the request.
	Gateway     string
	Sent, Ended time.Time
	// Deadline is when the request's time was over.
	Deadline time.Time
	// Got is what came: a status of the gateway's own, or an error.
	Got string
}

// Verdict of a stop's check.
type Verdict int

// Verdicts.
const (
	// Untouched: no planned stop had to do with it.
	Untouched Verdict = iota
	// Excused: a planned stop had, and the rules allow it.
	Excused
	// Broken: a planned stop cut a request that a back end was at work at.
	Broken
)

// CheckStops says whether a planned stop took the answer away of a request at
// which a back end was at work, and tells the story where that broke the promise.
func (l *Ledger) CheckStops(timeline *Timeline, outcome Outcome) (Verdict, string) {
	verdict := Untouched
	for _, run := range l.RunsOf(outcome.Request) {
		stops, found := timeline.judge(outcome, run)
		if found == Broken {
			return Broken, timeline.tell(outcome, run, stops)
		}
		verdict = max(verdict, found)
	}
	return verdict, ""
}

// judge judges one run of a request, and returns the planned stops that were
// under way in it.
func (t *Timeline) judge(outcome Outcome, run Run) ([]Stop, Verdict) {
	ended := run.Ended
	if ended.IsZero() {
		ended = outcome.Ended
	}
	stops := t.stopsOf(outcome.Gateway, run.Began, ended)
	if run.Machine != outcome.Gateway {
		stops = append(stops, t.stopsOf(run.Machine, run.Began, ended)...)
	}
	switch {
	case len(stops) == 0:
		return nil, Untouched
	case run.BrokeOff, t.faulty(outcome.Gateway, outcome.Sent, outcome.Ended), t.faulty(run.Machine, outcome.Sent, outcome.Ended):
		return stops, Excused
	case !outcome.Ended.Before(outcome.Deadline.Add(-deadlineMargin)), run.atDeadline(ended):
		return stops, Excused
	}
	for _, stop := range stops {
		if stop.mayCut(outcome.Sent, ended) {
			return stops, Excused
		}
	}
	return stops, Broken
}

// atDeadline says that a run lasted to the deadline that the back end was told.
func (r *Run) atDeadline(ended time.Time) bool {
	return !r.Deadline.IsZero() && !ended.Before(r.Deadline.Add(-deadlineMargin))
}

// mayCut says that a request was sent early enough in a stop, and at work late
// enough in its grace, to be given up.
func (s *Stop) mayCut(sent, ended time.Time) bool {
	lastPartBegins := s.Signalled.Add(s.Grace - s.Grace/lastPart)
	return !sent.After(s.Signalled.Add(lateInStop)) && !ended.Before(lastPartBegins)
}

// tell tells what a stop did to a request.
func (t *Timeline) tell(outcome Outcome, run Run, stops []Stop) string {
	var told []string
	for _, stop := range stops {
		told = append(told, fmt.Sprintf("%s got SIGTERM at %s and ended at %s", stop.Machine, t.At(stop.Signalled), t.At(stop.Ended)))
	}
	how := "whole"
	if run.Cut {
		how = "cut"
	}
	return fmt.Sprintf("planned stop: request %s, sent to %s at %s with time until %s, got %s at %s, while %s beside %s was at work from %s to %s (%s); %s",
		outcome.Request, outcome.Gateway, t.At(outcome.Sent), t.At(outcome.Deadline), outcome.Got, t.At(outcome.Ended),
		run.Instance, run.Machine, t.At(run.Began), t.At(run.Ended), how, strings.Join(told, "; "))
}
