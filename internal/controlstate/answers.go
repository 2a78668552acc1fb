package controlstate

import "github.com/quartzdock/quartzdock/internal/topology"

// MaximumAnswers bounds how many answers to operators' changes are kept; the
// oldest are dropped first. At 1,100 changes a day it is nine days' worth.
const MaximumAnswers = 10_000

// answer is the kept outcome of an operator's change.
type answer struct {
	RequestID string
	Digest    Digest
	Author    string
	Result    Result
}

// answers keeps the latest answers by request id.
type answers struct {
	byID map[string]answer
	// order holds the request ids, oldest first, from index first on.
	order []string
	first int
}

func newAnswers() answers { return answers{byID: make(map[string]answer)} }

func (a *answers) find(requestID string) (answer, bool) {
	found, ok := a.byID[requestID]
	return found, ok
}

func (a *answers) keep(kept answer) {
	a.byID[kept.RequestID] = kept
	a.order = append(a.order, kept.RequestID)
	if len(a.byID) <= MaximumAnswers {
		return
	}
	delete(a.byID, a.order[a.first])
	a.first++
	if a.first > MaximumAnswers {
		a.order = append([]string(nil), a.order[a.first:]...)
		a.first = 0
	}
}

// oldestFirst returns all kept answers.
func (a *answers) oldestFirst() []answer {
	result := make([]answer, 0, len(a.byID))
	for _, id := range a.order[a.first:] {
		result = append(result, a.byID[id])
	}
	return result
}

// repeat returns the outcome of a request id that was seen before.
func (s *State) repeat(command *Command) (Result, bool) {
	first, seen := s.answers.find(command.RequestID)
	if !seen {
		return Result{}, false
	}
	if first.Digest != command.Digest {
		return Result{
			Revision: s.configured,
			RequestIDReused: &RequestIDReusedError{
				RequestID: command.RequestID,
				First:     firstRevision(first),
				Author:    first.Author,
			},
		}, true
	}
	result := first.Result
	result.Repeated = true
	return result, true
}

func firstRevision(first answer) topology.Revision {
	if first.Result.Err() != nil {
		return 0
	}
	return first.Result.Revision
}
