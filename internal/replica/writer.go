package replica

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
)

// writeJob is one write: a Ready's facts, or a snapshot of the state machine.
type writeJob struct {
	ready    consensus.Ready
	snapshot *consensus.Snapshot
	// probeBytes asks only whether the log has room.
	probeBytes int64
}

type writeResult struct {
	job writeJob
	err error
}

// runWriter writes and syncs, one job after the other.
func (r *Replica) runWriter() {
	defer r.ended.Done()
	for job := range r.writes {
		result := writeResult{job: job}
		switch {
		case job.probeBytes > 0:
			result.err = r.files.log.TryRoll(job.probeBytes)
		case job.snapshot != nil:
			result.err = r.files.saveSnapshot(*job.snapshot)
		default:
			result.err = r.files.write(job.ready)
		}
		select {
		case r.written <- result:
		case <-r.stopping:
			return
		}
	}
}

// finishWrite takes in the end of a write. Any error but a full disk ends the
// replica before anything is acknowledged.
func (c *control) finishWrite(result writeResult) {
	full := errors.Is(result.err, storage.ErrDiskFull)
	if result.err != nil && !full {
		c.r.fail(result.err)
		return
	}
	c.writing = false
	ready := result.job.ready
	switch {
	case result.job.probeBytes > 0:
		c.setFull(full, result.job.probeBytes)
	case result.job.snapshot != nil:
		c.finishSnapshot(*result.job.snapshot, full)
	case full && ready.Snapshot != nil:
		c.repeatLater(result.job)
	case full:
		c.setFull(true, entriesBytes(ready.Entries))
		ready.Entries = nil
		c.finish(ready)
	default:
		c.finish(ready)
	}
}

func entriesBytes(entries []consensus.Entry) int64 {
	bytes := int64(1)
	for _, entry := range entries {
		bytes += int64(len(entry.Data)) + entryOverhead
	}
	return bytes
}

// entryOverhead is at least what an entry takes in the log beside its data.
const entryOverhead = 32

// repeatLater writes an installed snapshot again, which the core waits for.
func (c *control) repeatLater(job writeJob) {
	c.writing = true
	time.AfterFunc(diskFullRetry, func() {
		c.r.Post(func() { c.r.writes <- job })
	})
}

func (c *control) setFull(full bool, bytes int64) {
	c.fullBytes = bytes
	c.probeAt = c.r.Now() + diskFullRetry
	if c.full == full {
		return
	}
	c.full = full
	c.r.full.Store(full)
	if full {
		c.r.config.Logger.Warn("the disk is full; changes are refused", "folder", c.r.config.DataDir)
	} else {
		c.r.config.Logger.Info("the disk has space again; changes are accepted", "folder", c.r.config.DataDir)
	}
}

// probeDisk tries from time to time whether a full disk has space again.
func (c *control) probeDisk(now time.Duration) {
	if c.full && !c.writing && now >= c.probeAt {
		c.writing = true
		c.r.writes <- writeJob{probeBytes: c.fullBytes}
	}
}

// maybeSnapshot starts a snapshot when enough entries were applied and all of
// them are durable here.
func (c *control) maybeSnapshot() {
	if c.writing || c.r.Now() < c.snapshotAt {
		return
	}
	status := c.core.Status()
	if status.Applied < c.lastSnapshot+c.r.config.SnapshotEntries || status.Applied > status.Durable {
		return
	}
	data, err := c.r.config.Machine.Snapshot()
	if err != nil {
		c.r.fail(err)
		return
	}
	c.writing = true
	c.lastSnapshot = status.Applied
	c.r.writes <- writeJob{snapshot: &consensus.Snapshot{Meta: c.core.SnapshotMeta(), Data: data}}
}

// snapshotRetry is when a snapshot that found no space is tried again.
const snapshotRetry = 10 * time.Second

func (c *control) finishSnapshot(snapshot consensus.Snapshot, full bool) {
	if full {
		c.snapshotAt = c.r.Now() + snapshotRetry
		c.lastSnapshot = 0
		c.r.config.Logger.Warn("no disk space for a snapshot; the log grows on", "folder", c.r.config.DataDir)
		return
	}
	c.core.Compact(snapshot.Meta, c.r.config.RetainEntries)
}
