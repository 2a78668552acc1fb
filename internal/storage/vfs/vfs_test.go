package vfs

import (
	"testing"

	"gotest.tools/v3/assert"
)

func writeFile(t *testing.T, fs FS, name, text string, sync bool) {
	t.Helper()
	file, err := fs.Create(name)
	assert.NilError(t, err)
	_, err = file.WriteAt([]byte(text), 0)
	assert.NilError(t, err)
	if sync {
		assert.NilError(t, file.Sync())
	}
	assert.NilError(t, file.Close())
}

func TestCrashLosesNamesOfUnsyncedFolder(t *testing.T) {
	fs := NewMemory(1)
	writeFile(t, fs, "d/kept", "a", true)
	assert.NilError(t, fs.SyncDir("d"))
	writeFile(t, fs, "d/forgotten", "b", true)
	assert.NilError(t, fs.Rename("d/kept", "d/renamed"))
	fs.Crash()
	names, err := fs.List("d")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"kept"})
}

func TestCrashKeepsRandomPartOfUnsyncedContent(t *testing.T) {
	outcomes := map[string]bool{}
	for seed := range uint64(50) {
		fs := NewMemory(seed)
		writeFile(t, fs, "d/a", "old", true)
		assert.NilError(t, fs.SyncDir("d"))
		file, err := fs.Open("d/a")
		assert.NilError(t, err)
		_, err = file.WriteAt([]byte("new"), 0)
		assert.NilError(t, err)
		fs.Crash()
		_, err = file.WriteAt([]byte("x"), 0)
		assert.Assert(t, err != nil, "a crash invalidates open files")
		content, err := ReadAll(fs, "d/a")
		assert.NilError(t, err)
		outcomes[string(content)] = true
	}
	assert.DeepEqual(t, outcomes, map[string]bool{"old": true, "new": true})
}

// A crash right after WriteAtomically must keep the new content and leave no
// temporary file.
func TestWriteAtomically(t *testing.T) {
	for name, fs := range map[string]FS{t.TempDir(): OS{}, "d": NewMemory(1)} {
		assert.NilError(t, fs.MakeDir(name))
		assert.NilError(t, WriteAtomically(fs, name, "file", []byte("one")))
		assert.NilError(t, WriteAtomically(fs, name, "file", []byte("three")))
		if memory, ok := fs.(*Memory); ok {
			memory.Crash()
		}
		content, err := ReadAll(fs, name+"/file")
		assert.NilError(t, err)
		assert.Equal(t, string(content), "three")
		names, err := fs.List(name)
		assert.NilError(t, err)
		assert.Equal(t, len(names), 1)
	}
}

func TestIsDiskFullOnWriteAndAllocate(t *testing.T) {
	fs := NewMemory(1)
	fs.SetCapacity(100)
	err := WriteAtomically(fs, "d", "file", make([]byte, 101))
	assert.Assert(t, IsDiskFull(err))
	file, err := fs.Create("d/file")
	assert.NilError(t, err)
	assert.Assert(t, IsDiskFull(file.Allocate(200)))
}

func TestOperatingSystemLockAndAllocate(t *testing.T) {
	fs, dir := OS{}, t.TempDir()
	lock, err := fs.Lock(dir + "/lock")
	assert.NilError(t, err)
	_, err = fs.Lock(dir + "/lock")
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, lock.Close())
	file, err := fs.Create(dir + "/file")
	assert.NilError(t, err)
	assert.NilError(t, file.Allocate(10_000))
	size, err := file.Size()
	assert.NilError(t, err)
	assert.Equal(t, size, int64(10_000))
	assert.NilError(t, file.Sync())
	assert.NilError(t, file.Close())
}
