package fleetwire_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// arrived is a connection on which bytes have arrived, and then its end.
type arrived struct {
	net.Conn
	from *bytes.Reader
}

func (a *arrived) Read(buffer []byte) (int, error)  { return a.from.Read(buffer) }
func (a *arrived) Close() error                     { return nil }
func (a *arrived) SetReadDeadline(time.Time) error  { return nil }
func (a *arrived) SetWriteDeadline(time.Time) error { return nil }
func (a *arrived) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// framed is a payload as a peer sends it.
func framed(payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)))
	return append(frame, payload...)
}

// Whatever arrives on a session, framed well or not, receiving it ends with an error or
// whole messages, and takes little more memory than the bytes.
func FuzzReceive(f *testing.F) {
	for _, message := range []any{
		fleetwire.ToController{Hello: &fleetwire.Hello{Node: "n", Boot: 4}},
		fleetwire.ToController{Report: &fleetwire.Report{Boot: 4, Instance: &fleetwire.Instance{ID: "i-1", Slots: 4}, Load: []fleetwire.KeyLoad{{Bucket: 3, BusyMicros: 9}}}},
		fleetwire.FromController{Lease: &fleetwire.Lease{Duration: time.Second, Instance: "i-1", Held: []fleetwire.Held{{Fence: 4}}}},
		fleetwire.FromController{View: &fleetwire.View{OwnersIndex: 4, Evacuated: []string{"b"}}},
	} {
		var payload bytes.Buffer
		assert.NilError(f, gob.NewEncoder(&payload).Encode(message))
		f.Add(payload.Bytes(), true)
		f.Add(framed(payload.Bytes()), false)
	}
	f.Add([]byte("\xff\xff\xff\xff\x00\x00\x00\x00"), false)
	f.Add([]byte("\x03\xff\xff\xff\x00\x00\x00\x00"), false)
	f.Fuzz(func(t *testing.T, data []byte, frame bool) {
		if frame {
			data = framed(data)
		}
		for _, into := range []func() any{
			func() any { return &fleetwire.ToController{} }, func() any { return &fleetwire.FromController{} },
		} {
			const each, base = 512, 2 << 20 // bytes for each that arrived, and beside them
			used := allocated(func() {
				conn := transport.NewConn(&arrived{from: bytes.NewReader(data)}, transport.Options{})
				for conn.Receive(into()) == nil {
				}
			})
			if used > base+each*uint64(len(data)) {
				t.Fatalf("%d bytes for %d", used, len(data))
			}
		}
	})
}
