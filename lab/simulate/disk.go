package simulate

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// diskContent is what a controller's data folder holds.
type diskContent struct {
	identity    topology.ReplicaID
	incarnation topology.Incarnation
	hard        consensus.HardState
	snapshot    consensus.Snapshot
	entries     []consensus.Entry
}

func (c *diskContent) clone() diskContent {
	copied := *c
	copied.entries = slices.Clone(c.entries)
	return copied
}

// write takes in one write. The log is cut where entries replace others.
func (c *diskContent) write(ready consensus.Ready) {
	if ready.Snapshot != nil {
		c.snapshot = *ready.Snapshot
		c.entries = nil
	}
	if ready.HardState != nil {
		c.hard = *ready.HardState
	}
	c.append(ready.Entries)
}

func (c *diskContent) append(entries []consensus.Entry) {
	for _, entry := range entries {
		c.entries = append(c.truncated(entry.Index), entry)
	}
}

// truncated returns the entries before an index.
func (c *diskContent) truncated(index uint64) []consensus.Entry {
	for i, entry := range c.entries {
		if entry.Index >= index {
			return c.entries[:i]
		}
	}
	return c.entries
}

// saveSnapshot keeps a snapshot and drops the log far before it.
func (c *diskContent) saveSnapshot(snapshot consensus.Snapshot, retain uint64) {
	c.snapshot = snapshot
	first := uint64(0)
	if snapshot.Meta.Index > retain {
		first = snapshot.Meta.Index - retain
	}
	kept := slices.IndexFunc(c.entries, func(entry consensus.Entry) bool { return entry.Index > first })
	if kept < 0 {
		c.entries = nil
		return
	}
	c.entries = slices.Clone(c.entries[kept:])
}

// disk is the data folder of a controller's machine. A write is durable when
// its sync has ended; a crash before leaves a prefix of its entries.
type disk struct {
	world *world
	// durable is what a crash leaves.
	durable diskContent
	pending *consensus.Ready
	// copied: the folder was replaced by an older copy of itself.
	copied bool
	// backup is an older copy.
	backup *diskContent
	// slow adds to each sync.
	slow time.Duration
	// busyUntil is when the last write will be durable; later ones follow it.
	busyUntil time.Duration
}

const (
	syncLeast = 500 * time.Microsecond
	syncMost  = 4 * time.Millisecond
	syncTail  = 60 * time.Millisecond
)

func (d *disk) syncTime() time.Duration {
	if d.world.chance(tailShare) {
		return d.world.between(syncMost, syncTail) + d.slow
	}
	return d.world.between(syncLeast, syncMost) + d.slow
}

// write makes a write durable after a while and then calls done in the present
// life of the owner.
func (d *disk) write(owner *process, ready consensus.Ready, done func()) {
	d.pending = &ready
	life := owner.life
	d.busyUntil = max(d.busyUntil, d.world.now+d.syncTime())
	d.world.after(d.busyUntil-d.world.now, func() {
		if owner.life != life {
			return
		}
		d.durable.write(ready)
		d.pending = nil
		owner.do(life, done)
	})
}

// saveSnapshot makes a snapshot durable after a while.
func (d *disk) saveSnapshot(owner *process, snapshot consensus.Snapshot, done func()) {
	life := owner.life
	d.world.after(d.syncTime(), func() {
		if owner.life != life {
			return
		}
		d.durable.saveSnapshot(snapshot, retainEntries)
		owner.do(life, done)
	})
}

// crash loses what was not synced: all of a pending write, or all but a part
// of its entries. The hard state is written before the entries.
func (d *disk) crash() {
	torn := d.pending
	d.pending = nil
	d.busyUntil = 0
	if torn == nil || torn.Snapshot != nil || d.world.chance(0.5) {
		return
	}
	if torn.HardState != nil {
		d.durable.hard = *torn.HardState
	}
	d.durable.append(torn.Entries[:d.world.random.IntN(len(torn.Entries)+1)])
}

// takeBackup remembers the present content.
func (d *disk) takeBackup() {
	copied := d.durable.clone()
	d.backup = &copied
}

// rollBack puts the older copy in place. The copy's files are other files, by
// which the data folder tells it from the one that was used last.
func (d *disk) rollBack() bool {
	if d.backup == nil {
		return false
	}
	d.durable = d.backup.clone()
	d.copied = true
	return true
}

// lose empties the disk; a new folder gets a new incarnation and no identity.
func (d *disk) lose() {
	d.durable = diskContent{incarnation: topology.Incarnation(d.world.random.Uint64() | 1)}
	d.pending = nil
	d.copied = false
	d.backup = nil
}
