package fleetcontroller

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A list of founders that this program has not written is refused with its place: taken
// for none, the process would ask for admission to a group that it has founded.
func TestFoundersThatCannotBeReadAreRefused(t *testing.T) {
	for _, text := range []string{``, `{}`, `[]`, `null`, `{"Self":1`, `{"Self":3,"Peers":[{"ID":1}]}`, `{"Self":1,"Self":1,"Peers":[{"ID":1}]}`, `{"Self":"1","Peers":[{"ID":1}]}`, `{"Self":1,"Peers":[{"ID":1}]} x`} {
		folder := t.TempDir()
		path := filepath.Join(folder, foundersName)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := loadFounders(&Config{DataDir: folder})
		assert.ErrorContains(t, err, path, text)
	}
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, foundersName), []byte(`{"Self":1,"Peers":[{"ID":1}],"Later":true}`), 0o600))
	found, err := loadFounders(&Config{DataDir: folder})
	assert.NilError(t, err)
	assert.Equal(t, uint64(found.Self), uint64(1))
}
