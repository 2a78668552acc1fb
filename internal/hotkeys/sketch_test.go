package hotkeys_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/hotkeys"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestFrequentKeyIsFoundAmongManyRareOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sketch := hotkeys.New(16)
	for range 20_000 {
		key := topology.KeyHash(random.Uint64N(100_000))
		if random.Float64() < 0.2 {
			key = 7
		}
		sketch.Add(key)
	}
	top := sketch.Top(4, 0.1)
	assert.Equal(t, len(top), 1)
	assert.Equal(t, top[0].Key, topology.KeyHash(7))
	assert.Assert(t, top[0].Share > 0.12 && top[0].Share <= 0.22, "share %v", top[0].Share)
}

func TestEvenKeysAreNotHot(t *testing.T) {
	sketch := hotkeys.New(16)
	for number := range 10_000 {
		sketch.Add(topology.KeyHash(number % 1000))
	}
	assert.Equal(t, len(sketch.Top(4, 0.05)), 0)
}

func BenchmarkAdd(b *testing.B) {
	sketch := hotkeys.New(16)
	for number := 0; b.Loop(); number++ {
		sketch.Add(topology.KeyHash(number % 1000))
	}
}
