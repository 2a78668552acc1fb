package replica

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
)

// writeJob is one job of the writer: to write the data of a Ready, to remove old
// log segments or to probe the disk.
type writeJob struct {
	ready consensus.Ready
	// compactTo, if not zero, is the index of a snapshot; the log before it is
	// removed.
	compactTo uint64
	// probe only checks whether there is space for the log again.
	probe bool
	// verified is set if the disk is known to be complete. The write is then
	// recorded in the data folder's note of the last write.
	verified bool
}

type writeResult struct {
	job writeJob
	err error
	// lowSpace is set if the write succeeded, but there is no space for another
	// log segment.
	lowSpace bool
}

// runWriter runs the write jobs, one after the other.
func (r *Replica) runWriter() {
	defer r.goroutines.Done()
	for job := range r.writeJobs {
		result := writeResult{job: job}
		switch {
		case job.probe:
			result.err = r.files.reserveSpace()
		case job.compactTo > 0:
			result.err = r.files.log.Compact(job.compactTo)
		default:
			result = r.write(job)
		}
		if job.verified {
			r.files.folder.RecordWrite(r.files.log.Newest())
		}
		select {
		case r.writeResults <- result:
		case <-r.stopping:
			return
		}
	}
}

// write makes the data of a Ready durable and reserves space for the next
// writes.
func (r *Replica) write(job writeJob) writeResult {
	if err := r.files.write(job.ready); err != nil {
		return writeResult{job: job, err: err}
	}
	err := r.files.reserveSpace()
	if errors.Is(err, storage.ErrDiskFull) {
		return writeResult{job: job, lowSpace: true}
	}
	return writeResult{job: job, err: err}
}

// startWrite passes a job to the writer.
func (c *control) startWrite(job writeJob) {
	c.writeInFlight = true
	job.verified = c.core.Proven()
	c.r.writeJobs <- job
}

// completeWrite handles the result of a write job. Any error except a full disk
// stops the replica before anything is acknowledged.
func (c *control) completeWrite(result writeResult) {
	diskFull := errors.Is(result.err, storage.ErrDiskFull)
	if result.err != nil && !diskFull {
		c.r.fail(result.err)
		return
	}
	c.writeInFlight = false
	ready := result.job.ready
	switch {
	case result.job.probe:
		c.setDiskSpace(diskFull, c.diskFull && diskFull)
	case result.job.compactTo > 0:
	case diskFull && ready.Snapshot != nil:
		c.retryWrite(result.job)
	case diskFull:
		c.setDiskSpace(true, true)
		ready.Entries = nil
		c.completeReady(ready)
	default:
		if result.lowSpace {
			c.setDiskSpace(true, c.diskFull)
		}
		c.completeReady(ready)
	}
}

// retryWrite retries to write an installed snapshot after an interval. The core
// waits for it.
func (c *control) retryWrite(job writeJob) {
	c.writeInFlight = true
	time.AfterFunc(diskFullRetryInterval, func() {
		c.r.Post(func() { c.r.writeJobs <- job })
	})
}

// setDiskSpace records whether there is enough disk space. With lowSpace,
// proposals are rejected; with diskFull, the core holds back entries too.
func (c *control) setDiskSpace(lowSpace, diskFull bool) {
	c.diskFull = diskFull
	c.nextProbeAt = c.r.Now() + diskFullRetryInterval
	if c.lowSpace == lowSpace {
		return
	}
	c.lowSpace = lowSpace
	c.r.diskFull.Store(lowSpace)
	if lowSpace {
		c.r.config.Logger.Warn("the disk is full; changes are refused", "folder", c.r.config.DataDir)
	} else {
		c.r.config.Logger.Info("the disk has space again; changes are accepted", "folder", c.r.config.DataDir)
	}
}

// probeDisk checks at intervals whether a full disk has space again.
func (c *control) probeDisk(now time.Duration) {
	if c.lowSpace && !c.writeInFlight && now >= c.nextProbeAt {
		c.startWrite(writeJob{probe: true})
	}
}

// maybeSnapshot starts a snapshot if enough commands were applied and all of them
// are durable on this replica. The state is encoded and saved in the background.
// It is called between two Readys, when the state machine has exactly the state
// of the core's applied index.
func (c *control) maybeSnapshot() {
	if c.writeInFlight || c.snapshotInProgress || c.core.Installing() || c.r.Now() < c.nextSnapshotAt {
		return
	}
	status := c.core.Status()
	due := status.Applied >= c.lastSnapshotIndex+c.r.config.SnapshotEntries || c.appliedBytes >= max(c.r.config.SnapshotBytes, c.snapshotSize)
	if !due || status.Applied == c.lastSnapshotIndex || status.Applied > status.Durable {
		return
	}
	c.snapshotInProgress = true
	c.lastSnapshotIndex = status.Applied
	c.appliedBytes = 0
	meta, encode := c.core.SnapshotMeta(), c.snapshotEncoder()
	c.r.goroutines.Go(func() {
		data, err := encode()
		snapshot := consensus.Snapshot{Meta: meta, Data: data}
		if err == nil {
			err = c.r.files.saveSnapshot(snapshot)
		}
		c.r.Post(func() { c.completeSnapshot(snapshot, err) })
	})
}

// snapshotEncoder returns a function that encodes the current state. If the state
// machine is not a Freezer, the state is encoded at once.
func (c *control) snapshotEncoder() func() ([]byte, error) {
	if machine, ok := c.r.config.Machine.(Freezer); ok {
		return machine.Freeze()
	}
	data, err := c.r.config.Machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotRetryInterval is the time after which a snapshot that failed for lack of disk space
// is retried.
const snapshotRetryInterval = 10 * time.Second

func (c *control) completeSnapshot(snapshot consensus.Snapshot, err error) {
	c.snapshotInProgress = false
	switch {
	case errors.Is(err, storage.ErrDiskFull):
		c.nextSnapshotAt = c.r.Now() + snapshotRetryInterval
		c.lastSnapshotIndex = 0
		c.r.config.Logger.Warn("no disk space for a snapshot; the log keeps growing", "folder", c.r.config.DataDir)
	case err != nil:
		c.r.fail(err)
	default:
		// Retain no more entries than the size of the snapshot. A replica that is
		// further behind gets the snapshot, which is smaller than its entries.
		c.snapshotSize = int64(len(snapshot.Data))
		retained := c.core.EntriesWithin(snapshot.Meta.Index, max(len(snapshot.Data), minRetainedBytes))
		c.core.Compact(snapshot.Meta, min(retained, c.r.config.RetainEntries))
		c.compactTo = max(c.compactTo, snapshot.Meta.Index)
	}
}

// minRetainedBytes is the size of the entries that stay in memory even if the
// snapshot is smaller.
const minRetainedBytes = 64 << 10

// maybeCompact removes the part of the log that a saved snapshot covers.
func (c *control) maybeCompact() {
	if c.compactTo == 0 || c.writeInFlight {
		return
	}
	index := c.compactTo
	c.compactTo = 0
	c.startWrite(writeJob{compactTo: index})
}
