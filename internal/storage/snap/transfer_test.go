package snap

import (
	"testing"

	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"gotest.tools/v3/assert"
)

// copyParts copies up to parts parts of the newest snapshot until it is complete or
// a write fails.
func copyParts(t *testing.T, from *Store, in *Incoming, parts int) error {
	t.Helper()
	for range parts {
		if in.Complete() {
			return nil
		}
		part, err := from.ReadPart(in.Image().Digest, in.Received(), 300)
		assert.NilError(t, err)
		if err := in.Write(in.Received(), part); err != nil {
			return err
		}
	}
	return nil
}

func savedSnapshot(t *testing.T) (*Store, Image) {
	t.Helper()
	from := open(t, vfs.NewMemory(1))
	assert.NilError(t, from.Save(snapshot(5)))
	image, ok, err := from.Newest()
	assert.NilError(t, err)
	assert.Assert(t, ok)
	return from, image
}

func TestTransferResumesAfterRestart(t *testing.T) {
	from, image := savedSnapshot(t)
	fs := vfs.NewMemory(2)
	in, err := open(t, fs).Receive(image)
	assert.NilError(t, err)
	assert.NilError(t, copyParts(t, from, in, 3))
	assert.NilError(t, in.Close())

	to := open(t, fs)
	in, err = to.Receive(image)
	assert.NilError(t, err)
	assert.Equal(t, in.Received(), int64(900))
	assert.NilError(t, copyParts(t, from, in, 100))
	found, err := in.Finish()
	assert.NilError(t, err)
	assert.DeepEqual(t, found, snapshot(5))
	names, err := fs.List(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 0, "%v", names)
}

func TestDigestDetectsPartialFileDamagedByCrash(t *testing.T) {
	from, image := savedSnapshot(t)
	damaged := 0
	for seed := range uint64(20) {
		fs := vfs.NewMemory(seed)
		in, err := open(t, fs).Receive(image)
		assert.NilError(t, err)
		assert.NilError(t, copyParts(t, from, in, 4))
		assert.NilError(t, fs.SyncDir(dir))
		fs.Crash()
		to := open(t, fs)
		for {
			in, err = to.Receive(image)
			assert.NilError(t, err)
			assert.NilError(t, copyParts(t, from, in, 100))
			found, err := in.Finish()
			if err == nil {
				assert.DeepEqual(t, found, snapshot(5))
				break
			}
			damaged++
			names, err := fs.List(dir)
			assert.NilError(t, err)
			assert.Equal(t, len(names), 0, "the transfer starts again from the beginning")
		}
	}
	assert.Assert(t, damaged > 0, "no crash damaged a partial file")
}

func TestReceivingAnotherImageRemovesPartialFile(t *testing.T) {
	from, image := savedSnapshot(t)
	fs := vfs.NewMemory(2)
	to := open(t, fs)
	in, err := to.Receive(image)
	assert.NilError(t, err)
	assert.NilError(t, copyParts(t, from, in, 2))
	assert.NilError(t, in.Write(5, []byte("out of order")))
	assert.Equal(t, in.Received(), int64(600))
	assert.NilError(t, from.Save(snapshot(6)))
	part, err := from.ReadPart(image.Digest, 0, 300)
	assert.NilError(t, err)
	assert.Equal(t, len(part), 0, "the older image is no longer served")
	newer, _, err := from.Newest()
	assert.NilError(t, err)
	in, err = to.Receive(newer)
	assert.NilError(t, err)
	assert.Equal(t, in.Received(), int64(0))
	names, err := fs.List(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
}

func TestReceiverReportsDiskFull(t *testing.T) {
	from, image := savedSnapshot(t)
	fs := vfs.NewMemory(2)
	fs.SetCapacity(1000)
	in, err := open(t, fs).Receive(image)
	assert.NilError(t, err)
	assert.ErrorIs(t, copyParts(t, from, in, 100), storage.ErrDiskFull)
	assert.Equal(t, in.Received(), int64(900))
}
