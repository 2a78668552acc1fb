package replica

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage/snap"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/transport"
	"gotest.tools/v3/assert"
)

// FuzzPeerFrame sends random payloads in valid frames to a running replica, as a
// peer of another version or a faulty one may. The replica must keep running.
func FuzzPeerFrame(f *testing.F) {
	for _, e := range []envelope{
		{Group: 1, From: 2, Address: "127.0.0.1:1", Message: &consensus.Message{Kind: consensus.MessageHeartbeat, Term: 9}},
		{Group: 1, From: 2, Founding: &bootstrapNotice{ID: 2, Incarnation: 5}},
		{Group: 1, From: 2, Offer: &snapshotOffer{Image: snap.Image{Index: 1 << 40, Size: 10}, Message: consensus.Message{Snapshot: &consensus.Snapshot{}}}},
		{Group: 1, From: 2, Want: &snapshotPartRequest{Offset: -1}},
		{Group: 1, From: 2, Part: &snapshotPart{Offset: 1 << 40, Data: []byte{1}}},
	} {
		var payload bytes.Buffer
		assert.NilError(f, gob.NewEncoder(&payload).Encode(e))
		f.Add(payload.Bytes())
	}
	listener, err := transport.Listen("127.0.0.1:0", transport.Options{})
	assert.NilError(f, err)
	replica, err := Start(Config{
		Group: 1, ID: 1, DataDir: "data", FS: vfs.NewMemory(1), Listener: listener, Machine: &listMachine{},
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnFailure: func(err error) { panic(err) },
	})
	assert.NilError(f, err)
	f.Cleanup(func() { assert.Check(f, replica.Stop()) })
	for !replica.IsLeader() {
		time.Sleep(time.Millisecond)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		conn, err := net.Dial("tcp", replica.Address())
		assert.NilError(t, err)
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
		frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)))
		_, err = conn.Write(append(frame, payload...))
		assert.NilError(t, err)
		// The replica closes the connection if the payload is invalid. Otherwise
		// it is closed here.
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, conn)
		assert.NilError(t, conn.Close())
		assert.NilError(t, replica.ReadBarrier(testContext(t)))
	})
}
