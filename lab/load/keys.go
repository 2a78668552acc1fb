package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// keyChooser draws keys by a Zipf distribution with any exponent from zero.
type keyChooser struct {
	// cumulative[i] is the share of keys 0..i.
	cumulative []float64
	random     *rand.Rand
}

func newKeyChooser(keys deployment.Keys, seed uint64) *keyChooser {
	chooser := &keyChooser{
		cumulative: make([]float64, keys.Count),
		random:     rand.New(rand.NewPCG(seed, 2)),
	}
	total := 0.0
	for rank := range chooser.cumulative {
		total += 1 / math.Pow(float64(rank+1), keys.Skew)
		chooser.cumulative[rank] = total
	}
	for rank := range chooser.cumulative {
		chooser.cumulative[rank] /= total
	}
	return chooser
}

func (k *keyChooser) next() string {
	rank := sort.SearchFloat64s(k.cumulative, k.random.Float64())
	return KeyName(min(rank, len(k.cumulative)-1))
}

// KeyName returns the name of the key with a popularity rank, from zero.
func KeyName(rank int) string { return fmt.Sprintf("key-%d", rank) }
