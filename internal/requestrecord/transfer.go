package requestrecord

import (
	"bytes"
	"slices"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// export returns the record for the next owner. Entries that still run are
// listed without an outcome.
func (record *shardRecord) export(shard topology.ShardID) wire.RecordTransfer {
	transfer := wire.RecordTransfer{
		Shard:                  shard,
		Epoch:                  record.epoch,
		RangeStart:             record.covers.Start,
		RangeLast:              record.covers.Last,
		CompleteSinceUnixMilli: record.floor(),
		Entries:                make([]wire.RecordEntry, 0, len(record.entries)),
		Last:                   true,
	}
	for id, kept := range record.entries {
		transfer.Entries = append(transfer.Entries, exportEntry(id, kept))
	}
	slices.SortFunc(transfer.Entries, func(a, b wire.RecordEntry) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	return transfer
}

func exportEntry(id requestid.ID, kept *entry) wire.RecordEntry {
	exported := wire.RecordEntry{ID: id, Fingerprint: kept.fingerprint, Answered: kept.state == stateAnswered}
	if answer := kept.answer.answer(); answer != nil {
		exported.Status = answer.Status
		exported.Header = answer.Header
		exported.Body = answer.Body
	}
	return exported
}

// merge adds a previous owner's final record. The entries are facts whenever
// they arrive. The floor counts only when this agent's record has no gap
// between the transferred epoch and its own.
func (state *state) merge(transfer *wire.RecordTransfer) {
	record := state.shard(transfer.Shard)
	for _, entry := range transfer.Entries {
		state.mergeEntry(transfer.Shard, record, entry)
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

// mergeEntry keeps what is known here and adds what isn't. The age of the
// entry counts from its stamp, which is no later than its admission.
func (state *state) mergeEntry(shard topology.ShardID, record *shardRecord, imported wire.RecordEntry) {
	held, ok := record.entries[imported.ID]
	if !ok {
		held = &entry{fingerprint: imported.Fingerprint, state: stateUnknown}
		record.entries[imported.ID] = held
		state.order = append(state.order, orderedID{shard, imported.ID, imported.ID.UnixMilli()})
	}
	if held.state != stateUnknown || !imported.Answered {
		return
	}
	held.state = stateAnswered
	if imported.Status != 0 {
		held.keep(&Answer{Status: imported.Status, Header: imported.Header, Body: imported.Body})
		state.keptBytes += int(held.bodyBytes)
	}
}
