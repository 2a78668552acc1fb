package router

import (
	"math/rand/v2"
	"slices"
	"time"
)

// nearTolerance is by how much a near back end may cost more than a far one
// and still be preferred.
const nearTolerance = 1.25

// drawLimit bounds the draws for back ends that were not tried yet.
const drawLimit = 8

// chooseBalanced picks the better of two back ends drawn at random
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), by what this router itself saw of them. It avoids those already
// tried, while there are others. Nil means that the service has none.
func chooseBalanced(candidates []*peer, tried []*peer, now time.Duration) *peer {
	if len(candidates) == 0 {
		return nil
	}
	first := drawUntried(candidates, tried)
	second := drawUntried(candidates, tried)
	return cheaper(first, second, now)
}

// drawUntried draws a candidate that is not among tried, or any.
func drawUntried(candidates, tried []*peer) *peer {
	var drawn *peer
	for range drawLimit {
		drawn = candidates[rand.IntN(len(candidates))]
		if !slices.Contains(tried, drawn) {
			return drawn
		}
	}
	return drawn
}

// cheaper returns the peer of less cost; a nearer one may cost a little more.
func cheaper(a, b *peer, now time.Duration) *peer {
	if a == b {
		return a
	}
	costA, costB := a.cost(now), b.cost(now)
	if a.near && !b.near {
		costA /= nearTolerance
	}
	if b.near && !a.near {
		costB /= nearTolerance
	}
	if costB < costA {
		return b
	}
	return a
}
