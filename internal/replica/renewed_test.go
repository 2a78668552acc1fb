package replica

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// slowDisk holds a snapshot back that is being saved, from the second one of
// more than heldBytes on, until it is let through.
type slowDisk struct {
	*vfs.Memory
	mutex   sync.Mutex
	large   int
	held    bool
	through chan struct{}
}

const heldBytes = 2_200_000

func (d *slowDisk) Rename(oldName, newName string) error {
	if strings.HasSuffix(newName, ".snap") && d.holds(oldName) {
		<-d.through
	}
	return d.Memory.Rename(oldName, newName)
}

func (d *slowDisk) holds(name string) bool {
	file, err := d.Memory.Open(name)
	if err != nil {
		return false
	}
	size, err := file.Size()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil || size < heldBytes {
		return false
	}
	d.large++
	d.held = d.large > 1
	return d.held
}

func (d *slowDisk) isHolding() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.held
}

// slowly makes the group's disks slow ones.
func (g *testGroup) slowly() map[topology.ReplicaID]*slowDisk {
	disks := map[topology.ReplicaID]*slowDisk{}
	for id, config := range g.configs {
		disks[id] = &slowDisk{Memory: config.FS.(*vfs.Memory), through: make(chan struct{})}
		config.FS = disks[id]
		g.configs[id] = config
	}
	return disks
}

// A snapshot is being saved while an older one is sent. The disk is full in the
// middle of the transfer, as in TestATransferGoesOnWhereItWas.
func TestATransferWhileANewerSnapshotIsSaved(t *testing.T) {
	g, _, _ := memoryGroup(t, 3)
	disks := g.slowly()
	id := g.fallsBehind()
	leader := g.leader()
	slow := disks[leader.Status().ID]
	for !slow.isHolding() {
		g.propose(strings.Repeat("x", 50_000))
	}
	t.Cleanup(func() {
		for _, disk := range disks {
			if disk != slow {
				close(disk.through)
			}
		}
	})
	before := leader.BytesSent()
	disks[id].SetCapacity(disks[id].Used() + 2_200_000)
	g.start(id)
	g.wait("a part is there", func() bool { return leader.BytesSent() > before+2_000_000 })
	first := newest(t, leader)
	close(slow.through)
	g.wait("the newer snapshot is there", func() bool { return newest(t, leader) != first })
	g.kill(id)
	t.Logf("%d bytes sent of snapshot %d, of %d bytes, until the replica ended", leader.BytesSent()-before, first.Index, first.Size)
	disks[id].SetCapacity(0)
	g.start(id)
	g.waitCommands(id, len(g.commands(leader.Status().ID)))
	sent := leader.BytesSent() - before
	last := newest(t, leader)
	assert.Assert(t, sent < 4_500_000, "%d bytes were sent for snapshot %d, of %d bytes", sent, last.Index, last.Size)
}
