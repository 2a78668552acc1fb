package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Input of an operation: a read, or a change by an author.
type Input struct {
	// Author of the change; empty for a read.
	Author string
	// Expected revision of the change.
	Expected uint64
}

// Outcome of an operation.
type Outcome uint8

// Outcomes.
const (
	// Seen: a read was answered with Revision and Author.
	Seen Outcome = iota + 1
	// Accepted: the change was made at Revision.
	Accepted
	// Conflict: the change was refused, since Author had made Revision.
	Conflict
	// Unknown: no answer came.
	Unknown
)

// Output of an operation.
type Output struct {
	Outcome  Outcome
	Revision uint64
	Author   string
}

// register is the state of the model. After a change whose outcome is not known
// its revision is open: any above the one before.
type register struct {
	author   string
	revision uint64
	open     bool
}

// matches reports whether the register may hold a revision by an author.
func (r register) matches(revision uint64, author string) bool {
	if r.author != author {
		return false
	}
	if r.open {
		return revision > r.revision
	}
	return revision == r.revision
}

// step returns the states that the register may be in after an operation; none
// says that the operation cannot have had this output.
func (r register) step(input Input, output Output) []register {
	switch output.Outcome {
	case Seen, Conflict:
		refusedRightly := output.Outcome == Seen || output.Revision != input.Expected
		if r.matches(output.Revision, output.Author) && refusedRightly {
			return []register{{author: output.Author, revision: output.Revision}}
		}
	case Accepted:
		if r.matches(input.Expected, r.author) && output.Revision > input.Expected {
			return []register{{author: input.Author, revision: output.Revision}}
		}
	case Unknown:
		if r.matches(input.Expected, r.author) {
			return []register{r, {author: input.Author, revision: input.Expected, open: true}}
		}
		return []register{r}
	}
	return nil
}

func model() porcupine.Model {
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

// Check reports whether a history is linearizable. Undecided after the limit,
// it says so.
func Check(operations []porcupine.Operation, limit time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(model(), operations, limit)
}
