package simulate

import (
	"fmt"
	"time"
)

// Promise names one of the users' promises, and what must hold besides.
type Promise string

// Promises that a simulation checks.
const (
	// SingleOwner: no key has two owners that could both serve it.
	SingleOwner Promise = "single-owner"
	// AcceptedSurvives: what was acknowledged stays, and all replicas apply the
	// same commands.
	AcceptedSurvives Promise = "accepted-survives"
	// WholeAnswer: a caller gets the answer to its own request.
	WholeAnswer Promise = "whole-answer"
	// NotRunIsTrue: a request that was reported as not run did not run.
	NotRunIsTrue Promise = "not-run-is-true"
	// AtMostOnce: a non-repeatable request runs at most once.
	AtMostOnce Promise = "at-most-once"
	// Drain: a leaving back end receives no new work after a few seconds.
	Drain Promise = "drain"
	// PlannedStop: a planned stop cuts off no request in progress.
	PlannedStop Promise = "planned-stop"
	// NoRevert: what was in force at a process never goes back.
	NoRevert Promise = "no-revert"
	// InForce: what is reported in force everywhere is.
	InForce Promise = "in-force"
	// OneWinner: of changes that expect the same revision one is accepted, and
	// a resend gets the first answer.
	OneWinner Promise = "one-winner"
	// Recovers: once all faults are over, everything works again.
	Recovers Promise = "recovers"
)

// Promises lists all of them in order.
var Promises = []Promise{
	SingleOwner, AcceptedSurvives, WholeAnswer, NotRunIsTrue, AtMostOnce, Drain,
	PlannedStop, NoRevert, InForce, OneWinner, Recovers,
}

// maximumExamples bounds the findings that are kept in words per promise.
const maximumExamples = 5

// Finding is one broken promise.
type Finding struct {
	Promise Promise       `json:"promise"`
	At      time.Duration `json:"at_ns"`
	What    string        `json:"what"`
}

// findings counts broken promises and keeps the first of each in words.
type findings struct {
	counts   map[Promise]int
	examples []Finding
}

func newFindings() findings { return findings{counts: make(map[Promise]int)} }

func (f *findings) add(promise Promise, at time.Duration, format string, arguments ...any) {
	f.counts[promise]++
	if f.counts[promise] <= maximumExamples {
		f.examples = append(f.examples, Finding{promise, at, fmt.Sprintf(format, arguments...)})
	}
}
