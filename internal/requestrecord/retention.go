package requestrecord

// trim drops the oldest entries until age, count and kept bytes are within the
// limits. Each dropped entry raises its shard's floor above its stamp.
func (state *state) trim(limits Limits, nowUnixMilli int64) (dropped int) {
	oldest := nowUnixMilli - limits.Retention.Milliseconds()
	for len(state.admissions) > 0 {
		first := state.admissions[0]
		within := first.atUnixMilli >= oldest && len(state.admissions) <= limits.MaxEntries &&
			state.keptBytes <= limits.MaxKeptBytes
		if within {
			break
		}
		state.admissions[0] = admission{}
		state.admissions = state.admissions[1:]
		state.drop(first)
		dropped++
	}
	return dropped
}

// drop removes the entry of the oldest admission and raises its shard's floor.
func (state *state) drop(first admission) {
	record := state.shard(first.shard)
	e, ok := record.entries[first.id]
	if !ok {
		return // abandoned
	}
	state.dropAnswer(e)
	delete(record.entries, first.id)
	record.retentionFloor = max(record.retentionFloor, first.id.UnixMilli()+1)
}
