package namehash_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/namehash"
)

// Names that differ only in a number at their end fall evenly into the parts of the range.
func TestSimilarNamesAreSpread(t *testing.T) {
	const names, parts = 4000, 16
	counts := make([]int, parts)
	for i := range names {
		counts[namehash.Of(fmt.Sprintf("node-%d", i))>>60]++
	}
	for part, count := range counts {
		assert.Check(t, count > names/parts*3/4 && count < names/parts*5/4, "part %d: %d", part, count)
	}
}

func TestNamesAreNotJoined(t *testing.T) {
	assert.Assert(t, namehash.Of("ab", "c") != namehash.Of("a", "bc"))
}
