package history_test

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/history"
)

type (
	input  = history.Input
	output = history.Output
)

// sequence returns operations that do not overlap, from alternating inputs and
// outputs.
func sequence(pairs ...any) []porcupine.Operation {
	var operations []porcupine.Operation
	for index := 0; index < len(pairs); index += 2 {
		at := int64(10 * index)
		operations = append(operations, porcupine.Operation{
			ClientId: index, Input: pairs[index], Output: pairs[index+1], Call: at, Return: at + 1,
		})
	}
	return operations
}

// concurrent makes all operations overlap.
func concurrent(operations []porcupine.Operation) []porcupine.Operation {
	for index := range operations {
		operations[index].Call, operations[index].Return = 0, math.MaxInt64
	}
	return operations
}

var (
	read      = input{}
	accepted3 = output{Outcome: history.Accepted, Revision: 3}
	accepted5 = output{Outcome: history.Accepted, Revision: 5}
	unknown   = output{Outcome: history.Unknown}
)

func readReturned(revision uint64, author string) output {
	return output{Outcome: history.ReadReturned, Revision: revision, Author: author}
}

func conflict(revision uint64, author string) output {
	return output{Outcome: history.Conflict, Revision: revision, Author: author}
}

func change(author string, expected uint64) input { return input{Author: author, Expected: expected} }

func TestCheckDecidesLinearizability(t *testing.T) {
	for name, test := range map[string]struct {
		operations []porcupine.Operation
		want       porcupine.CheckResult
	}{
		"sequential changes":                      {sequence(change("a", 0), accepted3, read, readReturned(3, "a"), change("b", 3), accepted5, read, readReturned(5, "b")), porcupine.Ok},
		"stale read":                              {sequence(change("a", 0), accepted3, read, readReturned(0, "")), porcupine.Illegal},
		"two winners":                             {concurrent(sequence(change("a", 0), accepted3, change("b", 0), accepted5)), porcupine.Illegal},
		"loser is told the winner":                {concurrent(sequence(change("a", 0), accepted3, change("b", 0), conflict(3, "a"))), porcupine.Ok},
		"loser is told another winner":            {concurrent(sequence(change("a", 0), accepted3, change("b", 0), conflict(4, "a"))), porcupine.Illegal},
		"conflict without another change":         {sequence(change("a", 0), conflict(0, "")), porcupine.Illegal},
		"conflict with the change itself":         {sequence(change("a", 0), conflict(3, "a")), porcupine.Illegal},
		"revision goes back":                      {sequence(change("a", 0), accepted5, change("b", 5), accepted3), porcupine.Illegal},
		"accepted change is lost":                 {sequence(change("a", 0), accepted3, change("b", 0), accepted5), porcupine.Illegal},
		"unknown change was applied":              {sequence(change("a", 0), unknown, read, readReturned(3, "a"), change("b", 3), accepted5), porcupine.Ok},
		"unknown change was not applied":          {sequence(change("a", 0), unknown, read, readReturned(0, ""), change("b", 0), accepted5), porcupine.Ok},
		"unknown change is read, then lost":       {sequence(change("a", 0), unknown, read, readReturned(3, "a"), read, readReturned(0, "")), porcupine.Illegal},
		"unknown change is read at two revisions": {sequence(change("a", 0), unknown, read, readReturned(3, "a"), read, readReturned(4, "a")), porcupine.Illegal},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, history.Check(test.operations, time.Minute), test.want)
		})
	}
}
