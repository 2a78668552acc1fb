package history

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Recorder collects the operations of several operators.
type Recorder struct {
	started time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{started: time.Now()} }

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.started) }

// Add records an operation that was called at the given time and returns now. An
// operation with an unknown outcome may take effect at any later time, so it is
// recorded as one that never returns.
func (r *Recorder) Add(operator int, input Input, called time.Duration, output Output) {
	returned := int64(r.Now())
	if output.Outcome == Unknown {
		returned = math.MaxInt64
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: operator, Input: input, Call: int64(called), Output: output, Return: returned,
	})
}

// Operations returns a copy of the operations recorded so far.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]porcupine.Operation(nil), r.operations...)
}

// Count returns the number of operations with the given outcome.
func (r *Recorder) Count(outcome Outcome) int {
	count := 0
	for _, operation := range r.Operations() {
		if operation.Output.(Output).Outcome == outcome {
			count++
		}
	}
	return count
}
