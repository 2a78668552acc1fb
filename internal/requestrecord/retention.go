package requestrecord

// trim drops the oldest entries until age, count and kept bytes are within
// bounds. Each entry dropped raises its shard's floor above its stamp.
func (state *state) trim(limits Limits, nowUnixMilli int64) (dropped int) {
	oldest := nowUnixMilli - limits.Retention.Milliseconds()
	for len(state.order) > 0 {
		first := state.order[0]
		within := first.atUnixMilli >= oldest && len(state.order) <= limits.MaxEntries &&
			state.keptBytes <= limits.MaxKeptBytes
		if within {
			break
		}
		state.order[0] = orderedID{}
		state.order = state.order[1:]
		state.drop(first)
		dropped++
	}
	return dropped
}

func (state *state) drop(first orderedID) {
	record := state.shard(first.shard)
	kept, ok := record.entries[first.id]
	if !ok {
		return // abandoned
	}
	state.forgetAnswer(kept)
	delete(record.entries, first.id)
	record.retentionFloor = max(record.retentionFloor, first.id.UnixMilli()+1)
}
