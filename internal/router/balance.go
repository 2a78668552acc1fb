package router

import (
	"math/rand/v2"
	"slices"
	"time"
)

// sameZoneTolerance is the factor by which a back end in the router's zone may
// cost more than one elsewhere and still be preferred.
const sameZoneTolerance = 1.25

// maximumDraws limits the random draws for a back end that was not tried yet.
const maximumDraws = 8

// chooseBalanced returns the cheaper of two randomly chosen candidates
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), by the latency that this router itself observed. It avoids those
// already tried if it draws others. It returns nil if there are no candidates.
func chooseBalanced(candidates []*endpoint, tried []*endpoint, now time.Duration) *endpoint {
	if len(candidates) == 0 {
		return nil
	}
	first := drawUntried(candidates, tried)
	second := drawUntried(candidates, tried)
	return lowerCost(first, second, now)
}

// drawUntried returns a random candidate that is not among tried, or any one
// after maximumDraws draws.
func drawUntried(candidates, tried []*endpoint) *endpoint {
	var drawn *endpoint
	for range maximumDraws {
		drawn = candidates[rand.IntN(len(candidates))]
		if !slices.Contains(tried, drawn) {
			return drawn
		}
	}
	return drawn
}

// lowerCost returns the endpoint with the lower cost; one in the router's zone
// may cost up to sameZoneTolerance times as much as one elsewhere.
func lowerCost(a, b *endpoint, now time.Duration) *endpoint {
	if a == b {
		return a
	}
	costA, costB := a.cost(now), b.cost(now)
	if a.sameZone && !b.sameZone {
		costA /= sameZoneTolerance
	}
	if b.sameZone && !a.sameZone {
		costB /= sameZoneTolerance
	}
	if costB < costA {
		return b
	}
	return a
}
