package fleetcontroller

import (
	"encoding/json"
	"errors"
	"fmt"
	iofs "io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/strictjson"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// foundersFile is the file that stores the founding members of the group, so that a restart
// before the group is founded continues with the same members.
const foundersFile = "founders.json"

// founderList is the content of foundersFile.
type founderList struct {
	Self  topology.ReplicaID
	Peers []replica.Peer
}

// loadFounders returns the founding members of the group if this controller is one of them,
// otherwise an empty list. They are stored at the first start and read from the file at
// later ones.
func loadFounders(config *Config) (founderList, error) {
	path := filepath.Join(config.DataDir, foundersFile)
	content, err := os.ReadFile(path)
	if err == nil {
		var stored founderList
		if err := strictjson.Unmarshal(content, &stored); err != nil {
			return founderList{}, fmt.Errorf("%s: %w", path, err)
		}
		isSelf := func(peer replica.Peer) bool { return peer.ID == stored.Self }
		if stored.Self == 0 || !slices.ContainsFunc(stored.Peers, isSelf) {
			return founderList{}, fmt.Errorf("%s: replica %d is not among the founding members", path, stored.Self)
		}
		return stored, nil
	}
	if !errors.Is(err, iofs.ErrNotExist) {
		return founderList{}, err
	}
	if !config.Bootstrap {
		return founderList{}, nil
	}
	peers, self := config.founders()
	if self == 0 {
		return founderList{}, nil
	}
	founders := founderList{Self: self, Peers: peers}
	if content, err = json.Marshal(founders); err != nil {
		return founderList{}, err
	}
	files := vfs.OS{}
	if err := files.MakeDir(config.DataDir); err != nil {
		return founderList{}, err
	}
	return founders, vfs.WriteAtomically(files, config.DataDir, foundersFile, content)
}

// removeContents removes everything in a data folder.
func removeContents(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	var failures []error
	for _, entry := range entries {
		failures = append(failures, os.RemoveAll(filepath.Join(folder, entry.Name())))
	}
	return errors.Join(failures...)
}
