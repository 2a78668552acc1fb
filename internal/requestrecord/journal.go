package requestrecord

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// DefaultRewriteBytes is the segment size beyond which the journal is rewritten
// from the state.
const DefaultRewriteBytes = 64 << 20

// commit is a group of changes that are written together, and synced if any of
// them is durable (group commit).
type commit struct {
	changes []Change
	sync    bool
	done    chan struct{}
	err     error
}

func newCommit() *commit { return &commit{done: make(chan struct{})} }

func (group *commit) wait() error {
	<-group.done
	return group.err
}

// journal appends changes to a segment file. One goroutine writes; while it syncs
// one group, the next one collects changes.
type journal struct {
	directory    string
	rewriteBytes int64
	rewrite      func() []Change

	mutex   sync.Mutex
	pending *commit
	closed  bool
	syncs   uint64
	synced  uint64

	wake    chan struct{}
	stopped chan struct{}

	// The fields below belong to the writing goroutine.
	number  uint64
	file    *os.File
	encoder *gob.Encoder
	buffer  bytes.Buffer
	written int64
	failure error
}

// startJournal writes the state to a new segment, removes the older ones and
// starts the writing goroutine.
func startJournal(directory string, rewriteBytes int64, older []segment, rewrite func() []Change) (*journal, error) {
	started := &journal{
		directory:    directory,
		rewriteBytes: rewriteBytes,
		rewrite:      rewrite,
		pending:      newCommit(),
		wake:         make(chan struct{}, 1),
		stopped:      make(chan struct{}),
	}
	if len(older) > 0 {
		started.number = older[len(older)-1].number
	}
	if err := started.startSegment(rewrite()); err != nil {
		return nil, err
	}
	if err := removeSegments(older); err != nil {
		return nil, err
	}
	go started.run()
	return started, nil
}

// startSegment creates the next segment with the given changes and syncs it.
func (journal *journal) startSegment(changes []Change) error {
	journal.number++
	path := segmentPath(journal.directory, journal.number)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	journal.file = file
	journal.written = 0
	journal.buffer.Reset()
	journal.encoder = gob.NewEncoder(&journal.buffer)
	if err := journal.write(append([]Change{{Reset: &resetChange{}}}, changes...)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

func removeSegments(older []segment) error {
	for _, old := range older {
		if err := os.Remove(old.path); err != nil {
			return err
		}
	}
	return nil
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// append adds a change to the pending group. The Record's mutex orders the calls.
func (journal *journal) append(change Change, sync bool) *commit {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	group := journal.pending
	group.changes = append(group.changes, change)
	group.sync = group.sync || sync
	journal.signal()
	return group
}

func (journal *journal) signal() {
	select {
	case journal.wake <- struct{}{}:
	default:
	}
}

func (journal *journal) counts() (syncs, synced uint64) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.syncs, journal.synced
}

func (journal *journal) run() {
	defer close(journal.stopped)
	for range journal.wake {
		group, closed := journal.take()
		journal.commit(group)
		if closed {
			return
		}
	}
}

// take returns the pending group and starts a new one.
func (journal *journal) take() (group *commit, closed bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	group = journal.pending
	journal.pending = newCommit()
	return group, journal.closed
}

// commit writes one group. After a failure it writes nothing more, since it is
// unknown what a failed sync left on disk.
func (journal *journal) commit(group *commit) {
	defer close(group.done)
	if len(group.changes) == 0 {
		return
	}
	if journal.failure == nil {
		journal.failure = journal.persist(group)
	}
	if journal.failure == nil && journal.written > journal.rewriteBytes {
		journal.failure = journal.rewriteSegment()
	}
	if journal.failure != nil {
		group.err = fmt.Errorf("%w: %w", ErrJournal, journal.failure)
	}
}

// persist writes one group and syncs it if required.
func (journal *journal) persist(group *commit) error {
	if err := journal.write(group.changes); err != nil {
		return err
	}
	if !group.sync {
		return nil
	}
	if err := journal.file.Sync(); err != nil {
		return err
	}
	journal.mutex.Lock()
	journal.syncs++
	journal.synced += uint64(len(group.changes))
	journal.mutex.Unlock()
	return nil
}

// rewriteSegment replaces the current segment by one that holds the state.
func (journal *journal) rewriteSegment() error {
	old := segment{number: journal.number, path: segmentPath(journal.directory, journal.number)}
	if err := journal.file.Close(); err != nil {
		return err
	}
	if err := journal.startSegment(journal.rewrite()); err != nil {
		return err
	}
	return removeSegments([]segment{old})
}

// write appends the changes as one frame.
func (journal *journal) write(changes []Change) error {
	if err := journal.encoder.Encode(changes); err != nil {
		return err
	}
	frame := appendFrame(nil, journal.buffer.Bytes())
	journal.buffer.Reset()
	count, err := journal.file.Write(frame)
	journal.written += int64(count)
	return err
}

func (journal *journal) close() error {
	journal.mutex.Lock()
	if journal.closed {
		journal.mutex.Unlock()
		return nil
	}
	journal.closed = true
	journal.pending.sync = true
	journal.signal()
	journal.mutex.Unlock()
	<-journal.stopped
	if journal.failure != nil {
		return journal.failure
	}
	return journal.file.Close()
}
