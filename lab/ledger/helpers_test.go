package ledger_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// appendPartialLine appends the first half of a line, as a killed process may.
func appendPartialLine(t *testing.T, path string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = file.WriteString(`{"time":2,"kind":"ru`)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
}
