package wal

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"github.com/quartzdock/quartzdock/internal/consensus"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const dir = "data/wal"

var smallSegments = Options{SegmentBytes: 4096, ReserveBytes: 512}

func open(t testing.TB, fs vfs.FS) (*Log, Contents) {
	t.Helper()
	log, contents, err := Open(fs, dir, smallSegments)
	assert.NilError(t, err)
	return log, contents
}

func entries(term, from uint64, count int) []consensus.Entry {
	var made []consensus.Entry
	for i := range count {
		index := from + uint64(i)
		made = append(made, consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: []byte(fmt.Sprintf("%d/%d", index, term))})
	}
	return made
}

// appendEach appends count entries, each with its own call of Append.
func appendEach(t testing.TB, log *Log, count int) []consensus.Entry {
	t.Helper()
	all := entries(1, 1, count)
	for i := range all {
		assert.NilError(t, log.Append(&consensus.HardState{Term: 1, Vote: 2, Commit: uint64(i)}, all[i:i+1]))
	}
	return all
}

func TestAppendedEntriesSurviveCrash(t *testing.T) {
	for seed := range uint64(20) {
		fs := vfs.NewMemory(seed)
		log, _ := open(t, fs)
		all := appendEach(t, log, 300)
		assert.Assert(t, log.Segments() > 3)
		fs.Crash()
		_, contents := open(t, fs)
		assert.DeepEqual(t, contents.Entries, all)
		assert.DeepEqual(t, contents.HardState, consensus.HardState{Term: 1, Vote: 2, Commit: 299})
	}
}

func TestAppendReplacesEntriesAtSameAndHigherIndexes(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	appendEach(t, log, 10)
	assert.NilError(t, log.Append(nil, entries(2, 6, 2)))
	_, contents := open(t, fs)
	assert.DeepEqual(t, contents.Entries, append(entries(1, 1, 5), entries(2, 6, 2)...))
	assert.Equal(t, contents.HardState.Vote, consensus.HardState{Vote: 2}.Vote, "a write without a hard state keeps it")
}

// A write torn by a power loss is truncated, whichever of its sectors reached the
// disk; all frames before it are kept.
func TestTornWriteIsTruncated(t *testing.T) {
	torn := 0
	for seed := range uint64(60) {
		fs := vfs.NewMemory(seed)
		log, _ := open(t, fs)
		all := appendEach(t, log, 5)
		// A frame that spans several sectors and is not synced.
		frame := appendFrame(nil, kindAppend, log.sequence+1, appendEntries(appendHardState(nil, log.hardState), entries(9, 6, 150)))
		_, err := log.file.WriteAt(frame[:min(len(frame), int(log.segmentSize-log.writeOffset))], log.writeOffset)
		assert.NilError(t, err)
		fs.Crash()
		reopened, contents := open(t, fs)
		if contents.TornBytes > 0 {
			torn++
		}
		assert.DeepEqual(t, contents.Entries[:5], all)
		if len(contents.Entries) == 155 {
			continue // all of its sectors reached the disk
		}
		assert.Equal(t, len(contents.Entries), 5)
		assert.NilError(t, reopened.Append(nil, entries(2, 6, 1)))
		fs.Crash()
		_, contents = open(t, fs)
		assert.DeepEqual(t, contents.Entries, append(all, entries(2, 6, 1)...))
		assert.Equal(t, contents.TornBytes, int64(0))
	}
	assert.Assert(t, torn > 20, "%d of 60 crashes tore a write", torn)
}

func TestOpenFailsOnDamagedFrameWithoutChangingFiles(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	appendEach(t, log, 200)
	names, err := fs.List(dir)
	assert.NilError(t, err)
	for _, name := range []string{names[0], names[1], names[len(names)-1]} {
		for _, offset := range []int64{0, 9, 100, 300} {
			fs.Damage(dir+"/"+name, offset)
			before := fs.Clone()
			_, _, err := Open(fs, dir, smallSegments)
			var damage *storage.DamageError
			assert.Assert(t, errors.As(err, &damage), "%s at %d: %v", name, offset, err)
			assert.Equal(t, damage.File, dir+"/"+name)
			assert.Assert(t, damage.Offset <= offset && offset-damage.Offset < 64, "%d for %d", damage.Offset, offset)
			assert.Assert(t, damage.Advice != "")
			assert.DeepEqual(t, fs.Clone(), before)
			fs.Damage(dir+"/"+name, offset)
		}
	}
	open(t, fs)
}

func TestOpenFailsOnMissingSegment(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	appendEach(t, log, 200)
	names, err := fs.List(dir)
	assert.NilError(t, err)
	assert.NilError(t, fs.Remove(dir+"/"+names[1]))
	_, _, err = Open(fs, dir, smallSegments)
	assert.ErrorContains(t, err, "follows frame")
}

func TestAppendFailsAfterSyncError(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	appendEach(t, log, 3)
	fs.FailSync(syscall.EIO)
	err := log.Append(nil, entries(1, 4, 1))
	var failed *storage.SyncError
	assert.Assert(t, errors.As(err, &failed))
	assert.ErrorIs(t, err, syscall.EIO)
	// The next sync would succeed, although the data was lost.
	syncs := fs.Syncs()
	assert.ErrorIs(t, log.Append(nil, entries(1, 4, 1)), err)
	assert.Equal(t, fs.Syncs(), syncs)
	_, contents := open(t, fs)
	assert.Equal(t, len(contents.Entries), 3)
}

func TestFullDiskRejectsEntriesButAcceptsHardState(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	fs.SetCapacity(fs.Used() + 2*smallSegments.SegmentBytes)
	written := 0
	var err error
	for err == nil {
		if err = log.Append(nil, entries(1, uint64(written)+1, 1)); err == nil {
			written++
		}
	}
	assert.ErrorIs(t, err, storage.ErrDiskFull)
	assert.ErrorIs(t, log.EnsureSpaceFor(1000), storage.ErrDiskFull)
	for term := range uint64(8) {
		assert.NilError(t, log.Append(&consensus.HardState{Term: 2 + term, Vote: 1}, nil))
	}
	_, contents := open(t, fs)
	assert.Equal(t, len(contents.Entries), written)
	assert.Equal(t, contents.HardState.Term, uint64(9))

	fs.SetCapacity(0)
	assert.NilError(t, log.EnsureSpaceFor(1000))
	assert.NilError(t, log.Append(nil, entries(1, uint64(written)+1, 1)))
}

func TestLogContinuesAfterResetToSnapshot(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	appendEach(t, log, 10)
	assert.NilError(t, log.Reset(consensus.HardState{Term: 3, Commit: 50}, 50, 2))
	assert.NilError(t, log.Append(nil, entries(3, 51, 2)))
	fs.Crash()
	_, contents := open(t, fs)
	assert.Equal(t, contents.BaseIndex, uint64(50))
	assert.Equal(t, contents.BaseTerm, uint64(2))
	assert.DeepEqual(t, contents.Entries, entries(3, 51, 2))
}

func TestCompactKeepsEntriesAfterSnapshot(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _ := open(t, fs)
	all := appendEach(t, log, 300)
	before := log.Segments()
	assert.NilError(t, log.Compact(200))
	assert.Assert(t, log.Segments() < before)
	fs.Crash()
	_, contents := open(t, fs)
	assert.Assert(t, contents.BaseIndex < 200, "the entry at the snapshot's index is kept")
	assert.DeepEqual(t, contents.Entries, all[contents.BaseIndex:])
}

// TestSyncedEntriesSurviveRandomCrashes compares the log with a slice of entries
// as its model.
func TestSyncedEntriesSurviveRandomCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := vfs.NewMemory(rapid.Uint64().Draw(rt, "seed"))
		log, _ := open(t, fs)
		var model []consensus.Entry
		hard := consensus.HardState{}
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				hard.Term++
				from := rapid.IntRange(max(0, len(model)-3), len(model)).Draw(rt, "kept")
				count := rapid.IntRange(0, 40).Draw(rt, "count")
				added := entries(hard.Term, uint64(from)+1, count)
				assert.NilError(rt, log.Append(&hard, added))
				if count > 0 {
					model = append(model[:from:from], added...)
				}
			},
			"crash": func(rt *rapid.T) {
				fs.Crash()
				var contents Contents
				log, contents = open(t, fs)
				assert.Equal(rt, contents.HardState, hard)
				assert.Equal(rt, len(contents.Entries)+int(contents.BaseIndex), len(model))
				for position, entry := range contents.Entries {
					assert.DeepEqual(rt, entry, model[int(contents.BaseIndex)+position])
				}
			},
			"compact": func(rt *rapid.T) {
				if len(model) > 0 {
					assert.NilError(rt, log.Compact(uint64(rapid.IntRange(1, len(model)).Draw(rt, "index"))))
				}
			},
		})
	})
}

// FuzzOpen opens arbitrary bytes as the newest segment: Open must return contents
// or an error, and reopening must return the same entries.
func FuzzOpen(f *testing.F) {
	fs := vfs.NewMemory(1)
	log, _ := open(f, fs)
	appendEach(f, log, 4)
	content, err := vfs.ReadAll(fs, log.newest())
	assert.NilError(f, err)
	whole := content[:log.writeOffset]
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := vfs.NewMemory(1)
		file, err := fs.Create(dir + "/" + segmentName(1))
		assert.NilError(t, err)
		_, err = file.WriteAt(content, 0)
		assert.NilError(t, err)
		log, contents, err := Open(fs, dir, smallSegments)
		if err != nil {
			return
		}
		assert.NilError(t, log.Append(&consensus.HardState{Term: 1 << 40}, nil))
		_, again := open(t, fs)
		assert.DeepEqual(t, again.Entries, contents.Entries)
	})
}

// FuzzPayload decodes arbitrary bytes as a frame's payload, without a checksum.
func FuzzPayload(f *testing.F) {
	whole := appendEntries(appendPosition(appendHardState(nil, consensus.HardState{Term: 300, Vote: 2, Commit: 9}), position{8, 1}), entries(1, 9, 2))
	f.Add(whole)
	f.Add(whole[:7])
	f.Fuzz(func(t *testing.T, payload []byte) {
		d := decoder{rest: payload}
		hard, at, found := d.hardState(), d.position(), d.entries()
		if d.err != nil {
			return
		}
		again := decoder{rest: appendEntries(appendPosition(appendHardState(nil, hard), at), found)}
		assert.Equal(t, again.hardState(), hard)
		assert.Equal(t, again.position(), at)
		assert.DeepEqual(t, again.entries(), found)
		assert.NilError(t, again.err)
	})
}
