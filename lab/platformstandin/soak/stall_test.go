package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAStallOfTheSoakIsTold(t *testing.T) {
	began := time.Unix(1000, 0)
	watch := newStalls(began)
	at := began
	for _, step := range []time.Duration{stallLook, 200 * time.Millisecond, stallLook, 700 * time.Millisecond, stallLook, 300 * time.Millisecond} {
		at = at.Add(step)
		watch.look(at)
	}
	all, longest := watch.told()
	assert.DeepEqual(t, all, []Stall{{220 * time.Millisecond, 690 * time.Millisecond}, {930 * time.Millisecond, 290 * time.Millisecond}})
	assert.Equal(t, longest, 690*time.Millisecond)
}
