package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Input is the input of an operation: a read, or a change by an author.
type Input struct {
	// Author identifies the change; empty for a read.
	Author string
	// Expected is the revision that a change requires.
	Expected uint64
}

// Outcome is the outcome of an operation.
type Outcome uint8

// Outcomes of operations. Revision and Author are the fields of Output.
const (
	// ReadReturned: a read returned Revision and Author.
	ReadReturned Outcome = iota + 1
	// Accepted: the change was applied as Revision.
	Accepted
	// Conflict: the change was rejected because Author had already changed the
	// configuration to Revision.
	Conflict
	// Unknown: no answer came, so the change may or may not have been applied.
	Unknown
)

// Output is the result of an operation.
type Output struct {
	Outcome  Outcome
	Revision uint64
	Author   string
}

// register is the state of the model. If revisionUnknown is set, the last change
// was applied without an answer, and its revision may be any above revision.
type register struct {
	author          string
	revision        uint64
	revisionUnknown bool
}

// mayHold reports whether the register can hold a revision written by an author.
func (r register) mayHold(revision uint64, author string) bool {
	if r.author != author {
		return false
	}
	if r.revisionUnknown {
		return revision > r.revision
	}
	return revision == r.revision
}

// step returns the states that the register may be in after an operation. It
// returns none if the operation cannot have had this output.
func (r register) step(input Input, output Output) []register {
	switch output.Outcome {
	case ReadReturned, Conflict:
		justified := output.Outcome == ReadReturned || output.Revision != input.Expected
		if r.mayHold(output.Revision, output.Author) && justified {
			return []register{{author: output.Author, revision: output.Revision}}
		}
	case Accepted:
		if r.mayHold(input.Expected, r.author) && output.Revision > input.Expected {
			return []register{{author: input.Author, revision: output.Revision}}
		}
	case Unknown:
		if r.mayHold(input.Expected, r.author) {
			return []register{r, {author: input.Author, revision: input.Expected, revisionUnknown: true}}
		}
		return []register{r}
	}
	return nil
}

func registerModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, input, output any) []any {
			var next []any
			for _, possible := range state.(register).step(input.(Input), output.(Output)) {
				next = append(next, possible)
			}
			return next
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
	return nondeterministic.ToModel()
}

// Check checks whether a history is linearizable. It returns porcupine.Unknown if
// the timeout expires first.
func Check(operations []porcupine.Operation, timeout time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel(), operations, timeout)
}
