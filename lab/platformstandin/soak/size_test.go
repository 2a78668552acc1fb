package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAFleetHasAsManyKeyedBackEndsAsAskedFor(t *testing.T) {
	for _, size := range []Size{{Gateways: 72, Keyed: 54}, {Gateways: 2, Keyed: 1}, {Gateways: 301, Keyed: 300}, {Gateways: 300, Keyed: 1}} {
		assert.NilError(t, size.check())
		services := size.services(nil)
		keyed := len(slices.DeleteFunc(slices.Clone(services), func(service string) bool { return service != keyedService }))
		assert.Equal(t, len(services), size.Gateways)
		assert.Equal(t, keyed, size.Keyed)
	}
	assert.DeepEqual(t, Size{}.services(nil), services)
}

func TestAFleetWithoutOneOfTheServicesIsAnError(t *testing.T) {
	for _, size := range []Size{{Gateways: 5}, {Gateways: 5, Keyed: 5}, {Keyed: 3}, {Gateways: 5, Keyed: -1}, {Controllers: -1}, {Callers: -1}} {
		_, err := Soak(t.Context(), Config{Seed: 1, Duration: time.Second, Program: "none", Size: size})
		assert.Assert(t, err != nil, "%+v", size)
	}
}

// The load of callers ends at its bound, and no gateway has two more than another one.
func TestCallersGrowWithTheFleetUpToTheirBound(t *testing.T) {
	assert.Equal(t, len(spread(5, callersEach, mostCallers)), 5*callersEach)
	assert.Equal(t, len(spread(len(seriesServices), callersEach, mostCallers)), len(seriesServices)*callersEach)
	seats := spread(72, callersEach, mostCallers)
	assert.Equal(t, len(seats), mostCallers)
	at := map[int]int{}
	for _, each := range seats {
		at[each.gateway]++
	}
	for gateway := range 72 {
		assert.Assert(t, at[gateway] == 1 || at[gateway] == 2, "%d at %d", at[gateway], gateway)
	}
}

// Shorter pauses give more strikes of each stream.
func TestAShorterPauseGivesMoreStrikes(t *testing.T) {
	for _, kind := range []Kind{GatewayKill, ListenerClosed} {
		few, many := Draw(3, time.Minute, []Kind{kind}), draw(3, time.Minute, meanPause/10, []Kind{kind})
		assert.Assert(t, len(many) > 4*len(few), "%s: %d and %d", kind, len(few), len(many))
	}
}
