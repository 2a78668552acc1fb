package wal

import (
	"runtime"
	"testing"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"gotest.tools/v3/assert"
)

// Segments are allocated at full size. Reading one whole would slow down a starting process, and
// its group may have no leader until it has started.
func TestOpenAllocatesOnlyForWrittenBytes(t *testing.T) {
	fs := vfs.NewMemory(1)
	log, _, err := Open(fs, dir, Options{})
	assert.NilError(t, err)
	all := appendEach(t, log, 20)
	assert.NilError(t, log.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, contents, err := Open(fs, dir, Options{})
	runtime.ReadMemStats(&after)
	assert.NilError(t, err)
	assert.DeepEqual(t, contents.Entries, all)
	const maxAllocated = 8 * blockBytes
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocated, "%d bytes of a segment of %d", after.TotalAlloc-before.TotalAlloc, DefaultSegmentBytes)
}

// A frame, or its header, may end in any number of zeros.
func TestFramesEndingInZerosAreRead(t *testing.T) {
	for _, size := range []int{0, 1, blockBytes - 3*headerSize, blockBytes, 3 * blockBytes} {
		for shift := 0; shift < 4*headerSize; shift += 5 {
			fs := vfs.NewMemory(1)
			log, _, err := Open(fs, dir, Options{})
			assert.NilError(t, err)
			// The next frame begins around the end of a block.
			first := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, blockBytes-int(log.writeOffset)-3*headerSize+shift)}
			last := consensus.Entry{Index: 2, Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, size)}
			assert.NilError(t, log.Append(nil, []consensus.Entry{first}))
			assert.NilError(t, log.Append(nil, []consensus.Entry{last}))
			assert.NilError(t, log.Close())
			_, contents, err := Open(fs, dir, Options{})
			assert.NilError(t, err)
			assert.Equal(t, len(contents.Entries), 2, "%d bytes, shifted by %d", size, shift)
			assert.Equal(t, len(contents.Entries[1].Data), size)
			assert.Equal(t, contents.TornBytes, int64(0))
		}
	}
}
