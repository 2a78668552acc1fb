package requestrecord

import (
	"bytes"
	"slices"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// snapshot is a copy of a shard's record. It shares only immutable memory with the
// record.
type snapshot struct {
	releasedUnixMilli int64
	shard             topology.ShardID
	epoch             topology.Epoch
	covers            Range
	floor             int64
	entries           []snapshotEntry
}

type snapshotEntry struct {
	id    requestid.ID
	entry entry
}

func (record *shardRecord) snapshot(shard topology.ShardID) snapshot {
	snap := snapshot{shard: shard, epoch: record.epoch, covers: record.covers, floor: record.floor(),
		entries: make([]snapshotEntry, 0, len(record.entries))}
	for id, e := range record.entries {
		snap.entries = append(snap.entries, snapshotEntry{id, *e})
	}
	return snap
}

// transfer returns the record for the next owner, sorted by id. Entries of running
// requests have no outcome.
func (snap snapshot) transfer() wire.RecordTransfer {
	slices.SortFunc(snap.entries, func(a, b snapshotEntry) int { return bytes.Compare(a.id[:], b.id[:]) })
	transfer := wire.RecordTransfer{
		Shard:                  snap.shard,
		Epoch:                  snap.epoch,
		RangeStart:             snap.covers.Start,
		RangeLast:              snap.covers.Last,
		CompleteSinceUnixMilli: snap.floor,
		ReleasedUnixMilli:      snap.releasedUnixMilli,
		Entries:                make([]wire.RecordEntry, 0, len(snap.entries)),
		Last:                   true,
	}
	for i := range snap.entries {
		transfer.Entries = append(transfer.Entries, exportEntry(snap.entries[i].id, &snap.entries[i].entry))
	}
	return transfer
}

func exportEntry(id requestid.ID, e *entry) wire.RecordEntry {
	exported := wire.RecordEntry{ID: id, Fingerprint: e.fingerprint, Answered: e.state == stateAnswered}
	if answer := e.answer.answer(); answer != nil {
		exported.Status = answer.Status
		exported.Header = answer.Header
		exported.Body = answer.Body
	}
	return exported
}

// merge adds a previous owner's final record. The entries are valid whenever they
// arrive. The floor is taken over only if no epoch lies between the transferred
// one and this agent's own, and if this agent has lost none of its own admissions
// since the release.
func (state *state) merge(transfer *wire.RecordTransfer) {
	record := state.shard(transfer.Shard)
	for _, entry := range transfer.Entries {
		state.mergeEntry(transfer.Shard, record, entry)
	}
	if state.completeSince == 0 || transfer.ReleasedUnixMilli < state.completeSince {
		return
	}
	covers := Range{Start: transfer.RangeStart, Last: transfer.RangeLast}
	switch {
	case record.epoch < transfer.Epoch:
		record.epoch = transfer.Epoch
		record.covers = covers
		record.takeoverFloor = transfer.CompleteSinceUnixMilli
	case record.epoch == transfer.Epoch+1 && covers.contains(record.covers):
		record.takeoverFloor = min(record.takeoverFloor, transfer.CompleteSinceUnixMilli)
	}
}

// mergeEntry adds an entry, or its answer to an entry with unknown outcome; other
// existing entries stay as they are. The age of an added entry counts from its
// stamp, which is not later than its admission.
func (state *state) mergeEntry(shard topology.ShardID, record *shardRecord, imported wire.RecordEntry) {
	existing, ok := record.entries[imported.ID]
	if !ok {
		existing = &entry{fingerprint: imported.Fingerprint, state: stateUnknown}
		record.entries[imported.ID] = existing
		state.admissions = append(state.admissions, admission{shard, imported.ID, imported.ID.UnixMilli()})
	}
	if existing.state != stateUnknown || !imported.Answered {
		return
	}
	existing.state = stateAnswered
	if imported.Status != 0 {
		existing.setAnswer(&Answer{Status: imported.Status, Header: imported.Header, Body: imported.Body})
		state.keptBytes += int(existing.bodyBytes)
	}
}
