package snap

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	iofs "io/fs"
	"strings"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// Digest is the SHA-256 digest that ends a snapshot's file.
type Digest [sha256.Size]byte

// Image names a snapshot's file as it is sent from replica to replica.
type Image struct {
	Index  uint64
	Size   int64
	Digest Digest
}

// partSuffix ends the names of files that are being received. They outlive a
// restart, so that a transfer goes on where it was.
const partSuffix = ".part"

// Newest returns the image of the newest snapshot; ok is false where there is
// none.
func (s *Store) Newest() (image Image, ok bool, err error) {
	names, err := s.list()
	if err != nil || len(names) == 0 {
		return Image{}, false, err
	}
	name := names[len(names)-1]
	if _, err := fmt.Sscanf(name, "%016x"+suffix, &image.Index); err != nil {
		return Image{}, false, fmt.Errorf("snapshot %s: %w", name, err)
	}
	file, err := s.fs.Open(s.path(name))
	if err != nil {
		return Image{}, false, fmt.Errorf("read snapshot: %w", err)
	}
	defer file.Close()
	if image.Size, err = file.Size(); err != nil {
		return Image{}, false, fmt.Errorf("read snapshot: %w", err)
	}
	_, err = file.ReadAt(image.Digest[:], max(0, image.Size-sha256.Size))
	if err != nil && !errors.Is(err, io.EOF) {
		return Image{}, false, fmt.Errorf("read snapshot: %w", err)
	}
	return image, true, nil
}

// ReadPart returns up to length bytes of the newest snapshot's file from an
// offset, and nothing where the newest is another image by now.
func (s *Store) ReadPart(digest Digest, offset int64, length int) ([]byte, error) {
	image, ok, err := s.Newest()
	if err != nil || !ok || image.Digest != digest || offset < 0 || offset >= image.Size {
		return nil, err
	}
	file, err := s.fs.Open(s.path(fmt.Sprintf("%016x%s", image.Index, suffix)))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	defer file.Close()
	part := make([]byte, min(int64(length), image.Size-offset))
	if _, err := file.ReadAt(part, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	return part, nil
}

// Incoming is a snapshot that is being received. It is not synced: what a
// crash leaves of it is checked by its digest, as all of it is.
type Incoming struct {
	store *Store
	image Image
	file  vfs.File
	have  int64
}

// Receive begins to receive an image, or goes on with what is there of it.
// What is there of other images is removed.
func (s *Store) Receive(image Image) (*Incoming, error) {
	name := hex.EncodeToString(image.Digest[:]) + partSuffix
	if err := s.removeParts(name); err != nil {
		return nil, err
	}
	in := &Incoming{store: s, image: image}
	var err error
	in.file, err = s.fs.Open(s.path(name))
	if errors.Is(err, iofs.ErrNotExist) {
		in.file, err = s.fs.Create(s.path(name))
	}
	if err != nil {
		return nil, receiveError(err)
	}
	if in.have, err = in.file.Size(); err != nil || in.have > image.Size {
		in.have = 0
	}
	return in, err
}

// RemoveParts removes what is there of images that were not received whole.
func (s *Store) RemoveParts() error { return s.removeParts("") }

func (s *Store) removeParts(but string) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, partSuffix) && name != but {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove part of a snapshot: %w", err)
			}
		}
	}
	return nil
}

func receiveError(err error) error {
	if vfs.IsFull(err) {
		return fmt.Errorf("receive snapshot: %w", storage.ErrDiskFull)
	}
	return fmt.Errorf("receive snapshot: %w", err)
}

// Image is what is received.
func (in *Incoming) Image() Image { return in.image }

// Have is how many bytes, from the start, are there.
func (in *Incoming) Have() int64 { return in.have }

// Whole reports whether all bytes are there.
func (in *Incoming) Whole() bool { return in.have == in.image.Size }

// Write adds a part. One that does not follow what is there is dropped.
func (in *Incoming) Write(offset int64, part []byte) error {
	if offset != in.have || offset+int64(len(part)) > in.image.Size {
		return nil
	}
	if _, err := in.file.WriteAt(part, offset); err != nil {
		return receiveError(err)
	}
	in.have += int64(len(part))
	return nil
}

// Finish returns the snapshot, once it is whole, and removes the part. On an
// error the transfer begins anew.
func (in *Incoming) Finish() (consensus.Snapshot, error) {
	content := make([]byte, in.image.Size)
	_, err := in.file.ReadAt(content, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return consensus.Snapshot{}, receiveError(err)
	}
	if err := errors.Join(in.Close(), in.store.RemoveParts()); err != nil {
		return consensus.Snapshot{}, err
	}
	snapshot, err := Decode(content)
	if err == nil && (!strings.HasSuffix(string(content), string(in.image.Digest[:])) || snapshot.Meta.Index != in.image.Index) {
		err = errDigest
	}
	return snapshot, err
}

// Close ends the receiving; what is there stays for the next Receive.
func (in *Incoming) Close() error { return in.file.Close() }
