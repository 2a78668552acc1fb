package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/storage/snap"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// recordingDisk records which parts of snapshots are read to be sent. It can
// block the saving of snapshots.
type recordingDisk struct {
	*vfs.Memory
	id    topology.ReplicaID
	parts *partReadLog

	mutex    sync.Mutex
	gate     chan struct{}
	blocking bool
}

// partRead is a read of a snapshot part on a replica's disk. The index is that of
// the snapshot.
type partRead struct {
	reader topology.ReplicaID
	index  uint64
	offset int64
}

type partReadLog struct {
	mutex sync.Mutex
	parts []partRead
}

// sentTo returns the parts that all replicas except the receiver read from their disks. from is
// the number of first parts that it skips.
func (l *partReadLog) sentTo(receiver topology.ReplicaID, from int) []partRead {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := func(part partRead) bool { return part.reader == receiver }
	return slices.DeleteFunc(slices.Clone(l.parts), own)[from:]
}

// allFrom reports whether there are parts and all of them belong to the image.
func allFrom(image snap.Image, parts []partRead) bool {
	other := func(part partRead) bool { return part.index != image.Index }
	return len(parts) > 0 && !slices.ContainsFunc(parts, other)
}

// blockSaves blocks the saving of snapshots until release is called.
func (d *recordingDisk) blockSaves() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	gate := make(chan struct{})
	d.gate = gate
	return sync.OnceFunc(func() { close(gate) })
}

func (d *recordingDisk) isBlocking() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.blocking
}

// Rename implements vfs.FS.
func (d *recordingDisk) Rename(oldName, newName string) error {
	if strings.HasSuffix(newName, ".snap") {
		d.mutex.Lock()
		gate := d.gate
		d.blocking = gate != nil
		d.mutex.Unlock()
		if gate != nil {
			<-gate
		}
	}
	return d.Memory.Rename(oldName, newName)
}

// Open implements vfs.FS.
func (d *recordingDisk) Open(name string) (vfs.File, error) {
	file, err := d.Memory.Open(name)
	var index uint64
	if _, scanned := fmt.Sscanf(path.Base(name), "%016x.snap", &index); err != nil || scanned != nil {
		return file, err
	}
	return &recordingFile{file, d, index}, nil
}

// recordingFile is a snapshot file whose reads are recorded.
type recordingFile struct {
	vfs.File
	disk  *recordingDisk
	index uint64
}

// ReadAt implements vfs.File. It records only reads of the size of a part, and so
// ignores reads of the digest and of a whole large snapshot.
func (f *recordingFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if len(buffer) > sha256.Size && len(buffer) <= partSize {
		log := f.disk.parts
		log.mutex.Lock()
		log.parts = append(log.parts, partRead{f.disk.id, f.index, offset})
		log.mutex.Unlock()
	}
	return f.File.ReadAt(buffer, offset)
}

// received returns the number of bytes that were received of an image.
func (d *recordingDisk) received(t *testing.T, image snap.Image) int64 {
	t.Helper()
	file, err := d.Memory.Open("data/snap/" + hex.EncodeToString(image.Digest[:]) + ".part")
	assert.NilError(t, err)
	size, err := file.Size()
	assert.NilError(t, err)
	return size
}

// useRecordingDisks wraps the in-memory disks of a group in recording disks.
func (g *testGroup) useRecordingDisks() (map[topology.ReplicaID]*recordingDisk, *partReadLog) {
	disks, parts := map[topology.ReplicaID]*recordingDisk{}, &partReadLog{}
	for id, config := range g.configs {
		disks[id] = &recordingDisk{Memory: config.FS.(*vfs.Memory), id: id, parts: parts}
		config.FS = disks[id]
		g.configs[id] = config
	}
	return disks, parts
}

// retryIfDisturbed retries a run if another snapshot than the expected one was offered, because
// there was an election.
func retryIfDisturbed(t *testing.T, run func(*testing.T) (undisturbed bool)) {
	t.Helper()
	const attempts = 5
	for range attempts {
		if run(t) {
			return
		}
	}
	t.Fatalf("another snapshot was offered in each of %d attempts", attempts)
}

// A newer snapshot is saved while an older one is being sent. The entries after
// the older one are no longer in the leader's log, so the follower downloads the
// newer one from its start, and no more parts of the older one are sent.
func TestNewerSnapshotReplacesTransfer(t *testing.T) { retryIfDisturbed(t, checkTransferReplaced) }

func checkTransferReplaced(t *testing.T) (undisturbed bool) {
	g, _, _ := newMemoryGroup(t, 3)
	disks, parts := g.useRecordingDisks()
	id := g.makeReplicaLag()
	leader := g.leader()
	g.waitFor("the leader's snapshot is saved", func() bool { return isSnapshotIdle(leader) })
	first, term := newestSnapshot(t, leader), leader.Status().Term
	leaderDisk := disks[leader.Status().ID]
	release := leaderDisk.blockSaves()
	defer release()
	for !leaderDisk.isBlocking() {
		if !leader.IsLeader() {
			return false
		}
		g.propose(strings.Repeat("x", 50_000))
	}
	disks[id].SetCapacity(disks[id].Used() + 2_200_000)
	g.start(id)
	g.waitFor("parts were sent", func() bool { return len(parts.sentTo(id, 0)) >= 8 })
	release()
	g.waitFor("the newer snapshot is saved", func() bool { return newestSnapshot(t, leader) != first && isSnapshotIdle(leader) })
	g.kill(id)
	last := newestSnapshot(t, leader)
	before, bytes := parts.sentTo(id, 0), leader.BytesSent()
	disks[id].SetCapacity(0)
	g.start(id)
	g.waitCommands(id, len(g.commands(leader.Status().ID)))
	sent := parts.sentTo(id, len(before))
	asExpected := allFrom(first, before) && allFrom(last, sent)
	if !asExpected && (leader.Status().Term != term || newestSnapshot(t, leader) != last) {
		return false
	}
	assert.Assert(t, allFrom(first, before), "sent before the newer snapshot was saved: %v", before)
	assert.Assert(t, allFrom(last, sent), "sent after the newer snapshot was saved: %v", sent)
	assertSentBytes(t, leader.BytesSent()-bytes, last)
	assert.DeepEqual(t, g.commands(id), g.commands(leader.Status().ID))
	names, err := disks[id].List("data/snap")
	assert.NilError(t, err)
	for _, name := range names {
		assert.Assert(t, strings.HasSuffix(name, ".snap"), "left over: %s", name)
	}
	return true
}

// assertSentBytes checks that not much more than the size of an image was sent. A
// part is sent again if it was late or the receiver's disk was full.
func assertSentBytes(t *testing.T, sent uint64, image snap.Image) {
	t.Helper()
	assert.Assert(t, sent < uint64(image.Size)+1_500_000, "%d bytes were sent for snapshot %d, which has %d bytes", sent, image.Index, image.Size)
}
