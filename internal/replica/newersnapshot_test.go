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

// watchedDisk notes which parts of snapshots are read to be sent. It can hold
// snapshots back that are being saved.
type watchedDisk struct {
	*vfs.Memory
	id    topology.ReplicaID
	parts *partLog

	mutex   sync.Mutex
	through chan struct{}
	holding bool
}

// part is one of the snapshot at an index, read on a replica's disk.
type part struct {
	by     topology.ReplicaID
	index  uint64
	offset int64
}

type partLog struct {
	mutex sync.Mutex
	parts []part
}

// sentTo returns the parts, from a number on, that were read on the disks of
// others than the receiver.
func (l *partLog) sentTo(receiver topology.ReplicaID, from int) []part {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := func(part part) bool { return part.by == receiver }
	return slices.DeleteFunc(slices.Clone(l.parts), own)[from:]
}

// allOf reports whether there are parts, and all are an image's.
func allOf(image snap.Image, parts []part) bool {
	another := func(part part) bool { return part.index != image.Index }
	return len(parts) > 0 && !slices.ContainsFunc(parts, another)
}

// hold keeps each snapshot from being saved until the result is called.
func (d *watchedDisk) hold() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	through := make(chan struct{})
	d.through = through
	return sync.OnceFunc(func() { close(through) })
}

func (d *watchedDisk) isHolding() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.holding
}

// Rename implements vfs.FS.
func (d *watchedDisk) Rename(oldName, newName string) error {
	if strings.HasSuffix(newName, ".snap") {
		d.mutex.Lock()
		through := d.through
		d.holding = through != nil
		d.mutex.Unlock()
		if through != nil {
			<-through
		}
	}
	return d.Memory.Rename(oldName, newName)
}

// Open implements vfs.FS.
func (d *watchedDisk) Open(name string) (vfs.File, error) {
	file, err := d.Memory.Open(name)
	var index uint64
	if _, scanned := fmt.Sscanf(path.Base(name), "%016x.snap", &index); err != nil || scanned != nil {
		return file, err
	}
	return &watchedFile{file, d, index}, nil
}

// watchedFile is a snapshot's.
type watchedFile struct {
	vfs.File
	disk  *watchedDisk
	index uint64
}

// ReadAt implements vfs.File. Digests are no parts, nor are large snapshots.
func (f *watchedFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if len(buffer) > sha256.Size && len(buffer) <= partBytes {
		log := f.disk.parts
		log.mutex.Lock()
		log.parts = append(log.parts, part{f.disk.id, f.index, offset})
		log.mutex.Unlock()
	}
	return f.File.ReadAt(buffer, offset)
}

// received returns how much is there of an image.
func (d *watchedDisk) received(t *testing.T, image snap.Image) int64 {
	t.Helper()
	file, err := d.Memory.Open("data/snap/" + hex.EncodeToString(image.Digest[:]) + ".part")
	assert.NilError(t, err)
	size, err := file.Size()
	assert.NilError(t, err)
	return size
}

// watched makes the disks of a group in memory watched ones.
func (g *testGroup) watched() (map[topology.ReplicaID]*watchedDisk, *partLog) {
	disks, parts := map[topology.ReplicaID]*watchedDisk{}, &partLog{}
	for id, config := range g.configs {
		disks[id] = &watchedDisk{Memory: config.FS.(*vfs.Memory), id: id, parts: parts}
		config.FS = disks[id]
		g.configs[id] = config
	}
	return disks, parts
}

// untilUndisturbed repeats a run in which an election had another snapshot be
// offered than was meant.
func untilUndisturbed(t *testing.T, run func(*testing.T) (undisturbed bool)) {
	t.Helper()
	const tries = 5
	for range tries {
		if run(t) {
			return
		}
	}
	t.Fatalf("another snapshot was offered in each of %d tries", tries)
}

// A newer snapshot is saved while an older one is sent. What comes after the
// older one is not in the leader's log any more, so the newer one is fetched, from
// its start, and no more of the older one is sent.
func TestATransferOfAnOlderSnapshotEnds(t *testing.T) { untilUndisturbed(t, olderSnapshotEnds) }

func olderSnapshotEnds(t *testing.T) (undisturbed bool) {
	g, _, _ := memoryGroup(t, 3)
	disks, parts := g.watched()
	id := g.fallsBehind()
	leader := g.leader()
	g.wait("the leader's snapshot is saved", func() bool { return savesNothing(leader) })
	first, term := newest(t, leader), leader.Status().Term
	slow := disks[leader.Status().ID]
	release := slow.hold()
	defer release()
	for !slow.isHolding() {
		if !leader.IsLeader() {
			return false
		}
		g.propose(strings.Repeat("x", 50_000))
	}
	disks[id].SetCapacity(disks[id].Used() + 2_200_000)
	g.start(id)
	g.wait("parts are there", func() bool { return len(parts.sentTo(id, 0)) >= 8 })
	release()
	g.wait("the newer snapshot is saved", func() bool { return newest(t, leader) != first && savesNothing(leader) })
	g.kill(id)
	last := newest(t, leader)
	before, bytes := parts.sentTo(id, 0), leader.BytesSent()
	disks[id].SetCapacity(0)
	g.start(id)
	g.waitCommands(id, len(g.commands(leader.Status().ID)))
	sent := parts.sentTo(id, len(before))
	asMeant := allOf(first, before) && allOf(last, sent)
	if !asMeant && (leader.Status().Term != term || newest(t, leader) != last) {
		return false
	}
	assert.Assert(t, allOf(first, before), "sent before the newer snapshot was saved: %v", before)
	assert.Assert(t, allOf(last, sent), "sent after the newer snapshot was saved: %v", sent)
	assertSent(t, leader.BytesSent()-bytes, last)
	assert.DeepEqual(t, g.commands(id), g.commands(leader.Status().ID))
	names, err := disks[id].List("data/snap")
	assert.NilError(t, err)
	for _, name := range names {
		assert.Assert(t, strings.HasSuffix(name, ".snap"), "left over: %s", name)
	}
	return true
}

// assertSent bounds what was sent for an image: a part is sent again where it
// was slow to come or found no space.
func assertSent(t *testing.T, sent uint64, image snap.Image) {
	t.Helper()
	assert.Assert(t, sent < uint64(image.Size)+1_500_000, "%d bytes were sent for snapshot %d, of %d bytes", sent, image.Index, image.Size)
}
