package datadir

import (
	"errors"
	"testing"

	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"gotest.tools/v3/assert"
)

const (
	dir     = "data"
	segment = dir + "/wal/1.wal"
)

func open(t *testing.T, fs vfs.FS) *Folder {
	t.Helper()
	folder, err := Open(fs, dir, 1)
	assert.NilError(t, err)
	return folder
}

func write(t *testing.T, fs vfs.FS, name, text string) {
	t.Helper()
	file, err := fs.Create(name)
	assert.NilError(t, err)
	_, err = file.WriteAt([]byte(text), 0)
	assert.NilError(t, err)
	assert.NilError(t, file.Sync())
}

func TestIdentitySurvivesCrash(t *testing.T) {
	fs := vfs.NewMemory(1)
	folder := open(t, fs)
	assert.Assert(t, folder.Created())
	assert.NilError(t, folder.SetReplica(3))
	made := folder.Identity()
	fs.Crash()
	folder = open(t, fs)
	assert.Assert(t, !folder.Created())
	assert.DeepEqual(t, folder.Identity(), made)
	assert.ErrorContains(t, folder.SetReplica(4), "cannot become")
}

func TestNewFoldersHaveDistinctIncarnations(t *testing.T) {
	one, other := open(t, vfs.NewMemory(1)), open(t, vfs.NewMemory(1))
	assert.Assert(t, one.Identity().Incarnation != other.Identity().Incarnation)
}

func TestFolderIsLockedAgainstSecondOpen(t *testing.T) {
	fs := vfs.NewMemory(1)
	folder := open(t, fs)
	_, err := Open(fs, dir, 1)
	assert.ErrorIs(t, err, vfs.ErrLocked)
	assert.NilError(t, folder.Close())
	open(t, fs)
}

func TestOpenRejectsFolderOfAnotherGroup(t *testing.T) {
	fs := vfs.NewMemory(1)
	assert.NilError(t, open(t, fs).Close())
	_, err := Open(fs, dir, 2)
	assert.ErrorContains(t, err, "belongs to group 1")
}

func TestOpenRejectsCopiedFolder(t *testing.T) {
	fs := vfs.NewMemory(1)
	assert.NilError(t, open(t, fs).Close())
	content, err := vfs.ReadAll(fs, dir+"/"+identityName)
	assert.NilError(t, err)
	write(t, fs, dir+"/"+identityName, string(content))
	_, err = Open(fs, dir, 1)
	assert.ErrorIs(t, err, ErrCopied)
}

func TestOpenTrustedAcceptsChangedInode(t *testing.T) {
	fs := vfs.NewMemory(1)
	folder := open(t, fs)
	incarnation := folder.Identity().Incarnation
	assert.NilError(t, folder.Close())
	content, err := vfs.ReadAll(fs, dir+"/"+identityName)
	assert.NilError(t, err)
	write(t, fs, dir+"/"+identityName, string(content))
	trusted, err := OpenTrusted(fs, dir, 1)
	assert.NilError(t, err)
	assert.Equal(t, trusted.Identity().Incarnation, incarnation)
	assert.NilError(t, trusted.Close())
}

func TestOpenFailsOnDamagedIdentity(t *testing.T) {
	fs := vfs.NewMemory(1)
	assert.NilError(t, open(t, fs).Close())
	fs.Damage(dir+"/"+identityName, 40)
	_, err := Open(fs, dir, 1)
	var damage *storage.DamageError
	assert.Assert(t, errors.As(err, &damage))
}

func TestOpenDoesNotRecreateIdentityOverExistingLog(t *testing.T) {
	fs := vfs.NewMemory(1)
	assert.NilError(t, open(t, fs).Close())
	write(t, fs, segment, "frames")
	assert.NilError(t, fs.Remove(dir+"/"+identityName))
	_, err := Open(fs, dir, 1)
	assert.ErrorContains(t, err, "is missing, but data/wal is not empty")
	_, err = fs.Open(dir + "/" + identityName)
	assert.Assert(t, err != nil, "Open must not write an identity file")
}

// folderAfterRun returns a file system with a folder whose last run ended after a
// write with an up-to-date run record.
func folderAfterRun(t *testing.T) *vfs.Memory {
	fs := vfs.NewMemory(1)
	folder := open(t, fs)
	write(t, fs, segment, "frame 1")
	assert.NilError(t, fs.SyncDir(dir+"/wal"))
	folder.RecordWrite(segment)
	assert.NilError(t, folder.Close())
	return fs
}

func TestProven(t *testing.T) {
	for name, test := range map[string]struct {
		change func(fs *vfs.Memory)
		proven bool
	}{
		"restart of the process": {func(*vfs.Memory) {}, true},
		"power cut":              {func(fs *vfs.Memory) { fs.Crash() }, false},
		"older copy of the disk": {func(fs *vfs.Memory) { fs.Restore(fs.Clone()) }, false},
		"log copied back in place": {func(fs *vfs.Memory) {
			content, _ := vfs.ReadAll(fs, segment)
			fs.Overwrite(segment, content)
		}, false},
		"log copied back as a new file": {func(fs *vfs.Memory) { write(t, fs, segment, "frame 1") }, false},
		"newest segment removed": {func(fs *vfs.Memory) {
			write(t, fs, dir+"/wal/0.wal", "older")
			assert.NilError(t, fs.Remove(segment))
		}, false},
		"write without a run record": {func(fs *vfs.Memory) { write(t, fs, dir+"/wal/2.wal", "frame 2") }, false},
		"no run record":              {func(fs *vfs.Memory) { assert.NilError(t, fs.Remove(dir+"/"+runRecordName)) }, false},
		"damaged run record":         {func(fs *vfs.Memory) { fs.Damage(dir+"/"+runRecordName, 3) }, false},
		"operator's confirmation":    {func(fs *vfs.Memory) { fs.Crash(); write(t, fs, dir+"/"+trustName, "") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			fs := folderAfterRun(t)
			test.change(fs)
			folder := open(t, fs)
			proven, err := folder.Proven()
			assert.NilError(t, err)
			assert.Equal(t, proven, test.proven)
			assert.NilError(t, folder.RemoveRunRecord())
			proven, err = folder.Proven()
			assert.NilError(t, err)
			assert.Assert(t, !proven, "a confirmation counts once, and a removed run record proves nothing")
		})
	}
}

func TestProvenOnOperatingSystemFiles(t *testing.T) {
	fs, data := vfs.OS{}, t.TempDir()
	if fs.Session(data) == "" {
		t.Skip("this kernel has no unique mount IDs (Linux 6.8 and later do)")
	}
	folder, err := Open(fs, data, 1)
	assert.NilError(t, err)
	assert.NilError(t, fs.MakeDir(folder.WAL()))
	name := folder.WAL() + "/1.wal"
	write(t, fs, name, "frame 1")
	folder.RecordWrite(name)
	assert.NilError(t, folder.Close())
	for _, proven := range []bool{true, false} {
		folder, err = Open(fs, data, 1)
		assert.NilError(t, err)
		found, err := folder.Proven()
		assert.NilError(t, err)
		assert.Equal(t, found, proven)
		assert.NilError(t, folder.Close())
		file, err := fs.Open(name)
		assert.NilError(t, err)
		_, err = file.WriteAt([]byte("frame 1"), 0)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
	}
}

func TestOpenRejectsFolderMarkedUnusable(t *testing.T) {
	fs := vfs.NewMemory(1)
	folder := open(t, fs)
	assert.NilError(t, folder.MarkUnusable("replica 2 knows of more"))
	assert.NilError(t, folder.Close())
	fs.Crash()
	_, err := Open(fs, dir, 1)
	assert.ErrorContains(t, err, "replica 2 knows of more")
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(Identity{Group: 1, Incarnation: 2, Replica: 3}))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		identity, err := decode(content)
		if err != nil {
			return
		}
		again, err := decode(encode(identity))
		assert.NilError(t, err)
		assert.Equal(t, again, identity)
	})
}
