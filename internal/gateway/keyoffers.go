package gateway

import (
	"encoding/json"
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

// selectOffers returns which rows fit into an offer. The ranges that the back end has accepted come
// first: what an offer leaves out, the back end releases. An accepted range's row has no handover, so
// that more of the others fit into the next offer.
func selectOffers(rows []OfferedRange, accepted []bool, bytes int) []bool {
	chosen := make([]bool, len(rows))
	for _, first := range []bool{true, false} {
		for i := range rows {
			if size := rows[i].RowBytes(); accepted[i] == first && size <= bytes {
				bytes -= size
				chosen[i] = true
			}
		}
	}
	return chosen
}

// offerableRanges returns the leased ranges that fit into one response. The caller has the mutex.
func (k *grantManager) offerableRanges() []fleetwire.Held {
	rows, accepted := make([]OfferedRange, len(k.leasedRanges)), make([]bool, len(k.leasedRanges))
	for i, held := range k.leasedRanges {
		sent := k.grants[fencedRange{held.Keys, held.Fence}]
		accepted[i] = sent != nil && !sent.confirmedAt.IsZero()
		rows[i] = k.offerRow(held, accepted[i])
	}
	var offered []fleetwire.Held
	for i, chosen := range selectOffers(rows, accepted, MaxOfferBytes) {
		if chosen {
			offered = append(offered, k.leasedRanges[i])
		}
	}
	if len(offered) < len(rows) {
		k.gateway.config.Log.Warn("more ranges than an answer holds", "instance", k.instance, "ranges", len(rows), "offered", len(offered))
	}
	return offered
}

// offerRow returns the row of a range under the fence that is in use for it. The caller has the
// mutex.
func (k *grantManager) offerRow(held fleetwire.Held, accepted bool) OfferedRange {
	row := OfferedRange{Keys: held.Keys, Fence: composeFence(held.Fence, k.fences.subFences[held.Fence])}
	if !accepted {
		row.Handover = held.Handover
	}
	return row
}
