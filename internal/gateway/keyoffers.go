package gateway

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

const (
	// MaxOfferBytes bounds the rows of an offer, as the sum of OfferedRange.RowBytes. A back end reads
	// 4 KiB of a response to a heartbeat, whose other parts take under 100 bytes.
	MaxOfferBytes = 4<<10 - 128
	// rowPunctuation is the number of bytes of a row that are not in its values: two brackets and
	// four commas.
	rowPunctuation = 6
)

// RowBytes returns the length of a range in an offer: a JSON array of four values, and a comma.
func (r *OfferedRange) RowBytes() int {
	digits := func(number uint64) int { return len(strconv.FormatUint(number, 10)) }
	handover, _ := json.Marshal(r.Handover) // a string can always be encoded
	return rowPunctuation + digits(uint64(r.Keys.First)) + digits(uint64(r.Keys.Last)) + digits(uint64(r.Fence)) + len(handover)
}

// offerCandidate is a leased range with its row in an offer.
type offerCandidate struct {
	held fleetwire.Held
	row  OfferedRange
	// accepted is set if the back end holds the range; chosen if the offer has the row.
	accepted, chosen bool
}

// selectOffers returns the candidates whose rows fit into an offer, in their order. The ranges that the
// back end has accepted come first: what an offer leaves out, the back end releases. An accepted
// range's row has no handover, so that more of the others fit into the next offer.
func selectOffers(candidates []offerCandidate, bytes int) []offerCandidate {
	choose := func(candidate *offerCandidate) {
		if size := candidate.row.RowBytes(); size <= bytes {
			bytes -= size
			candidate.chosen = true
		}
	}
	for _, accepted := range []bool{true, false} {
		for i := range candidates {
			if candidates[i].accepted == accepted {
				choose(&candidates[i])
			}
		}
	}
	return slices.DeleteFunc(candidates, func(candidate offerCandidate) bool { return !candidate.chosen })
}

// offerable returns the leased ranges that fit into one response. The caller has the mutex.
func (k *grantManager) offerable() []offerCandidate {
	var candidates []offerCandidate
	for _, held := range k.leasedRanges {
		sent := k.grants[fencedRange{held.Keys, held.Fence}]
		candidate := offerCandidate{
			held: held, accepted: sent != nil && !sent.confirmedAt.IsZero(),
			row: OfferedRange{Keys: held.Keys, Fence: composeFence(held.Fence, k.fences.subFences[held.Fence])},
		}
		if !candidate.accepted {
			candidate.row.Handover = held.Handover
		}
		candidates = append(candidates, candidate)
	}
	offered := selectOffers(candidates, MaxOfferBytes)
	if len(offered) < len(k.leasedRanges) {
		k.gateway.config.Log.Warn("more ranges than an answer holds", "instance", k.instance, "ranges", len(k.leasedRanges), "offered", len(offered))
	}
	return offered
}
