package sentids_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/sentids"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// An id is known until the deadline of its last sending, and forgotten soon after.
func TestIDsAreKnownUntilTheirDeadline(t *testing.T) {
	s, now := sentids.New(), steady.Now()
	assert.Assert(t, !s.Add("a", now.Add(3*time.Second), now))
	assert.Assert(t, !s.Add("b", now.Add(time.Second), now))
	assert.Assert(t, s.Add("a", now.Add(5*time.Second), now))
	assert.Assert(t, s.Add("a", now.Add(time.Second), now.Add(4900*time.Millisecond)), "the latest deadline applies")
	assert.Equal(t, s.Len(), 1, "the other one is forgotten")
	for number := range 10000 {
		at := now.Add(time.Duration(number) * 10 * time.Millisecond)
		s.Add(fmt.Sprint(number), at.Add(time.Second), at)
	}
	assert.Assert(t, s.Len() < 400, "%d ids", s.Len())
	assert.Assert(t, !s.Add("a", now.Add(time.Hour), now.Add(time.Hour)))
	assert.Equal(t, s.Len(), 1)
}
