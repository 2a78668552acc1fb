package fleetcontroller

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// An invalid file of founding members is an error that names the file. If it were ignored,
// the process would request admission to the group that it should found.
func TestInvalidFoundersFileIsRejected(t *testing.T) {
	for _, text := range []string{``, `{}`, `[]`, `null`, `{"Self":1`, `{"Self":3,"Peers":[{"ID":1}]}`, `{"Self":1,"Self":1,"Peers":[{"ID":1}]}`, `{"Self":"1","Peers":[{"ID":1}]}`, `{"Self":1,"Peers":[{"ID":1}]} x`} {
		folder := t.TempDir()
		path := filepath.Join(folder, foundersFile)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := loadFounders(&Config{DataDir: folder})
		assert.ErrorContains(t, err, path, text)
	}
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, foundersFile), []byte(`{"Self":1,"Peers":[{"ID":1}],"Later":true}`), 0o600))
	founders, err := loadFounders(&Config{DataDir: folder})
	assert.NilError(t, err)
	assert.Equal(t, uint64(founders.Self), uint64(1))
}
