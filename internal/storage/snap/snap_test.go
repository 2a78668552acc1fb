package snap

import (
	"errors"
	"syscall"
	"testing"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"gotest.tools/v3/assert"
)

const dir = "data/snap"

func snapshot(index uint64) consensus.Snapshot {
	membership := consensus.NewMembership(consensus.Member{ID: 1, Incarnation: 7, Address: "127.0.0.1:1"})
	return consensus.Snapshot{
		Meta: consensus.SnapshotMeta{Index: index, Term: 3, Membership: membership},
		Data: make([]byte, 2000),
	}
}

func open(t testing.TB, fs vfs.FS) *Store {
	t.Helper()
	store, err := Open(fs, dir)
	assert.NilError(t, err)
	return store
}

func load(t testing.TB, fs vfs.FS) consensus.Snapshot {
	t.Helper()
	found, ok, err := open(t, fs).Load()
	assert.NilError(t, err)
	assert.Assert(t, ok)
	return found
}

func TestSavedSnapshotSurvivesCrash(t *testing.T) {
	for seed := range uint64(20) {
		fs := vfs.NewMemory(seed)
		store := open(t, fs)
		for index := range uint64(5) {
			assert.NilError(t, store.Save(snapshot(index)))
		}
		fs.Crash()
		assert.DeepEqual(t, load(t, fs), snapshot(4))
		names, err := fs.List(dir)
		assert.NilError(t, err)
		assert.Assert(t, len(names) <= retainedSnapshots+1, "%v", names)
	}
}

func TestCrashDuringSaveKeepsOlderSnapshot(t *testing.T) {
	for seed := range uint64(20) {
		fs := vfs.NewMemory(seed)
		assert.NilError(t, open(t, fs).Save(snapshot(1)))
		content := Encode(snapshot(2))
		file, err := fs.Create(dir + "/0000000000000002.snap" + vfs.TemporarySuffix)
		assert.NilError(t, err)
		_, err = file.WriteAt(content[:len(content)/2], 0)
		assert.NilError(t, err)
		if seed%2 == 0 {
			assert.NilError(t, fs.SyncDir(dir))
		}
		fs.Crash()
		assert.DeepEqual(t, load(t, fs), snapshot(1))
		names, err := fs.List(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(names), 1, "unfinished files should be removed: %v", names)
	}
}

func TestLoadFailsOnDamagedSnapshot(t *testing.T) {
	fs := vfs.NewMemory(1)
	store := open(t, fs)
	assert.NilError(t, store.Save(snapshot(1)))
	assert.NilError(t, store.Save(snapshot(2)))
	name := dir + "/0000000000000002.snap"
	for _, offset := range []int64{0, 10, 40, 500, int64(len(Encode(snapshot(2)))) - 1} {
		fs.Damage(name, offset)
		_, _, err := store.Load()
		var damage *storage.DamageError
		assert.Assert(t, errors.As(err, &damage), "offset %d: %v", offset, err)
		assert.Equal(t, damage.File, name)
		assert.Assert(t, damage.Advice != "")
		fs.Damage(name, offset)
	}
}

func TestSaveFailsOnFullDiskAndKeepsOlderSnapshot(t *testing.T) {
	fs := vfs.NewMemory(1)
	store := open(t, fs)
	assert.NilError(t, store.Save(snapshot(1)))
	used := fs.Used()
	fs.SetCapacity(used + 100)
	assert.ErrorIs(t, store.Save(snapshot(2)), storage.ErrDiskFull)
	assert.Equal(t, fs.Used(), used, "the partial file should be removed")
	assert.DeepEqual(t, load(t, fs), snapshot(1))
	fs.SetCapacity(0)
	assert.NilError(t, store.Save(snapshot(2)))
}

// failingCreate is a full file system on which not even an empty file can be
// created.
type failingCreate struct{ *vfs.Memory }

func (failingCreate) Create(string) (vfs.File, error) { return nil, syscall.ENOSPC }

func TestSaveReportsDiskFullWhenCreateFails(t *testing.T) {
	store := open(t, failingCreate{vfs.NewMemory(1)})
	assert.ErrorIs(t, store.Save(snapshot(1)), storage.ErrDiskFull)
}

func TestSaveReportsSyncError(t *testing.T) {
	fs := vfs.NewMemory(1)
	store := open(t, fs)
	fs.FailSync(syscall.EIO)
	var failed *storage.SyncError
	assert.Assert(t, errors.As(store.Save(snapshot(1)), &failed))
}

func FuzzDecode(f *testing.F) {
	whole := Encode(snapshot(9))
	f.Add(whole)
	f.Add(whole[:50])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, content []byte) {
		found, err := Decode(content)
		if err != nil {
			return
		}
		again, err := Decode(Encode(found))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, found)
	})
}
