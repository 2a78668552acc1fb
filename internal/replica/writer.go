package replica

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
)

// writeJob is one write: a Ready's facts, or the removal of log segments.
type writeJob struct {
	ready consensus.Ready
	// compactTo removes the log before a snapshot's index.
	compactTo uint64
	// probe asks only whether the log has room again.
	probe bool
	// proven: this run knows that its disk is whole, and notes its writes.
	proven bool
}

type writeResult struct {
	job writeJob
	err error
	// low: the write succeeded, but there is no space for a further segment.
	low bool
}

// runWriter writes and syncs, one job after the other.
func (r *Replica) runWriter() {
	defer r.ended.Done()
	for job := range r.writes {
		result := writeResult{job: job}
		switch {
		case job.probe:
			result.err = r.files.ensureRoom()
		case job.compactTo > 0:
			result.err = r.files.log.Compact(job.compactTo)
		default:
			result = r.write(job)
		}
		if job.proven {
			r.files.folder.NoteWrite(r.files.log.Newest())
		}
		select {
		case r.written <- result:
		case <-r.stopping:
			return
		}
	}
}

// write makes a Ready's facts durable and looks ahead for space.
func (r *Replica) write(job writeJob) writeResult {
	if err := r.files.write(job.ready); err != nil {
		return writeResult{job: job, err: err}
	}
	err := r.files.ensureRoom()
	if errors.Is(err, storage.ErrDiskFull) {
		return writeResult{job: job, low: true}
	}
	return writeResult{job: job, err: err}
}

// write hands a job to the writer.
func (c *control) write(job writeJob) {
	c.writing = true
	job.proven = c.core.Proven()
	c.r.writes <- job
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
	case result.job.probe:
		c.setSpace(full, c.full && full)
	case result.job.compactTo > 0:
	case full && ready.Snapshot != nil:
		c.repeatLater(result.job)
	case full:
		c.setSpace(true, true)
		ready.Entries = nil
		c.finish(ready)
	default:
		if result.low {
			c.setSpace(true, c.full)
		}
		c.finish(ready)
	}
}

// repeatLater writes an installed snapshot again, which the core waits for.
func (c *control) repeatLater(job writeJob) {
	c.writing = true
	time.AfterFunc(diskFullRetry, func() {
		c.r.Post(func() { c.r.writes <- job })
	})
}

// setSpace notes what the disk has space for: low refuses changes, full holds
// entries back as well.
func (c *control) setSpace(low, full bool) {
	c.full = full
	c.probeAt = c.r.Now() + diskFullRetry
	if c.low == low {
		return
	}
	c.low = low
	c.r.full.Store(low)
	if low {
		c.r.config.Logger.Warn("the disk is full; changes are refused", "folder", c.r.config.DataDir)
	} else {
		c.r.config.Logger.Info("the disk has space again; changes are accepted", "folder", c.r.config.DataDir)
	}
}

// probeDisk tries from time to time whether a full disk has space again.
func (c *control) probeDisk(now time.Duration) {
	if c.low && !c.writing && now >= c.probeAt {
		c.write(writeJob{probe: true})
	}
}

// maybeSnapshot starts a snapshot when enough was applied and all of it is
// durable here. The state is encoded and saved in the background. It is called
// between two Ready, when the state machine is where the core says it is.
func (c *control) maybeSnapshot() {
	if c.writing || c.snapshotting || c.core.Installing() || c.r.Now() < c.snapshotAt {
		return
	}
	status := c.core.Status()
	due := status.Applied >= c.lastSnapshot+c.r.config.SnapshotEntries || c.appliedBytes >= max(c.r.config.SnapshotBytes, c.snapshotSize)
	if !due || status.Applied == c.lastSnapshot || status.Applied > status.Durable {
		return
	}
	c.snapshotting = true
	c.lastSnapshot = status.Applied
	c.appliedBytes = 0
	meta, encode := c.core.SnapshotMeta(), c.freeze()
	c.r.ended.Go(func() {
		data, err := encode()
		snapshot := consensus.Snapshot{Meta: meta, Data: data}
		if err == nil {
			err = c.r.files.saveSnapshot(snapshot)
		}
		c.r.Post(func() { c.finishSnapshot(snapshot, err) })
	})
}

// freeze returns what encodes the state of this moment.
func (c *control) freeze() func() ([]byte, error) {
	if machine, ok := c.r.config.Machine.(Freezer); ok {
		return machine.Freeze()
	}
	data, err := c.r.config.Machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotRetry is when a snapshot that found no space is tried again.
const snapshotRetry = 10 * time.Second

func (c *control) finishSnapshot(snapshot consensus.Snapshot, err error) {
	c.snapshotting = false
	switch {
	case errors.Is(err, storage.ErrDiskFull):
		c.snapshotAt = c.r.Now() + snapshotRetry
		c.lastSnapshot = 0
		c.r.config.Logger.Warn("no disk space for a snapshot; the log grows on", "folder", c.r.config.DataDir)
	case err != nil:
		c.r.fail(err)
	default:
		// A replica that is further behind gets the snapshot, which is smaller
		// than the entries would be.
		c.snapshotSize = int64(len(snapshot.Data))
		retained := c.core.EntriesWithin(snapshot.Meta.Index, max(len(snapshot.Data), leastRetainedBytes))
		c.core.Compact(snapshot.Meta, min(retained, c.r.config.RetainEntries))
		c.compactTo = max(c.compactTo, snapshot.Meta.Index)
	}
}

// leastRetainedBytes of entries stay in memory where there are so many.
const leastRetainedBytes = 64 << 10

// maybeCompact removes the log that a snapshot covers.
func (c *control) maybeCompact() {
	if c.compactTo == 0 || c.writing {
		return
	}
	index := c.compactTo
	c.compactTo = 0
	c.write(writeJob{compactTo: index})
}
