package gobcheck_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
)

func TestWholeRejectsTruncatedMessages(t *testing.T) {
	var buffer bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&buffer).Encode(struct{ A []byte }{make([]byte, 70_000)}))
	whole := buffer.Bytes()
	assert.NilError(t, gobcheck.CheckLengths(whole))
	assert.NilError(t, gobcheck.CheckLengths(nil))
	for _, broken := range [][]byte{whole[:len(whole)-1], whole[1:2], {0xfc, 0x3f, 0xff, 0xff, 0xff, 1}, {0x80}, {0xff}, {0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
		assert.ErrorIs(t, gobcheck.CheckLengths(broken), gobcheck.ErrTruncated)
	}
}
