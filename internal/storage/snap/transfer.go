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

// Image identifies a snapshot's file when it is sent from one replica to another.
type Image struct {
	Index  uint64
	Size   int64
	Digest Digest
}

// partSuffix is the suffix of the names of files that are being received. They
// survive a restart, so that a transfer can resume.
const partSuffix = ".part"

// Newest returns the image of the newest snapshot; ok is false if there is
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
// offset. It returns nothing if the newest snapshot does not have the given digest.
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

// Incoming is a snapshot that is being received. Its file is not synced, because
// the digest of the complete file also detects damage from a crash.
type Incoming struct {
	store    *Store
	image    Image
	file     vfs.File
	received int64
}

// Receive starts or resumes receiving an image. Partial files of other images are
// removed.
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
	if in.received, err = in.file.Size(); err != nil || in.received > image.Size {
		in.received = 0
	}
	return in, err
}

// RemoveParts removes all partially received files.
func (s *Store) RemoveParts() error { return s.removeParts("") }

func (s *Store) removeParts(except string) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, partSuffix) && name != except {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove partially received snapshot: %w", err)
			}
		}
	}
	return nil
}

func receiveError(err error) error {
	if vfs.IsDiskFull(err) {
		return fmt.Errorf("receive snapshot: %w", storage.ErrDiskFull)
	}
	return fmt.Errorf("receive snapshot: %w", err)
}

// Image returns the image that is being received.
func (in *Incoming) Image() Image { return in.image }

// Received returns the number of bytes received so far.
func (in *Incoming) Received() int64 { return in.received }

// Complete reports whether all bytes have been received.
func (in *Incoming) Complete() bool { return in.received == in.image.Size }

// Write appends a part. It ignores a part that does not start at the end of the
// received bytes or exceeds the image's size.
func (in *Incoming) Write(offset int64, part []byte) error {
	if offset != in.received || offset+int64(len(part)) > in.image.Size {
		return nil
	}
	if _, err := in.file.WriteAt(part, offset); err != nil {
		return receiveError(err)
	}
	in.received += int64(len(part))
	return nil
}

// Finish decodes the completely received snapshot and removes its file. After an
// error the transfer starts again from the beginning.
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

// Close closes the file. It stays on disk, so that a later Receive can resume.
func (in *Incoming) Close() error { return in.file.Close() }
