package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// A request that finds all slots in use and nearly the whole rate left is refused for the slots: it
// would find no room when the rate has some.
func TestRefusalNamesWhatIsShort(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	now := start.Add(time.Second)
	const slots = 4
	wanted := Demand{Target: time.Second, MaxWait: time.Second}
	for _, test := range []struct {
		perSecond float64
		limited   bool
	}{{1, true}, {20, false}} {
		q := NewSlotQueue(start)
		q.SetCapacity(slots, start)
		q.SetServiceTime(400 * time.Millisecond)
		q.ObserveLimit(ratelimit.Statement{Limited: true, PerSecond: test.perSecond}, start, start)
		for range 3 * slots {
			q.Arrive(Demand{Target: time.Second, InTimeWait: time.Minute}, nil, now)
		}
		_, limited := q.RefuseByLimit(wanted, now)
		assert.Equal(t, limited, test.limited, "%g a second", test.perSecond)
	}
}
