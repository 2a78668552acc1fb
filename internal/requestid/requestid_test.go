package requestid

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

// rfcExample is the example in RFC 9562, appendix A.6.
const rfcExample = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"

func TestParseReadsRFCExample(t *testing.T) {
	id, err := Parse(rfcExample)
	assert.NilError(t, err)
	assert.Equal(t, id.UnixMilli(), int64(1645557742000))
	assert.Equal(t, id.String(), rfcExample)
}

func TestParseRejectsInvalidIDs(t *testing.T) {
	for text, want := range map[string]error{
		"":                                     ErrSyntax,
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398":  ErrSyntax,
		"017f22e2x79b0-7cc3-98c4-dc0c0c07398f": ErrSyntax,
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398g": ErrSyntax,
		"017f22e2-79b0-4cc3-98c4-dc0c0c07398f": ErrVersion, // version 4
		"017f22e2-79b0-7cc3-18c4-dc0c0c07398f": ErrVersion, // other variant
	} {
		_, err := Parse(text)
		assert.ErrorIs(t, err, want, "%q", text)
	}
}

func TestParseReadsIDsMadeByNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milli := rapid.Int64Range(0, 1<<48-1).Draw(t, "milli")
		var random [10]byte
		copy(random[:], rapid.SliceOfN(rapid.Byte(), 10, 10).Draw(t, "random"))
		id := New(time.UnixMilli(milli), random)
		read, err := Parse(id.String())
		assert.NilError(t, err)
		assert.Equal(t, read, id)
		assert.Equal(t, read.UnixMilli(), milli)
	})
}
