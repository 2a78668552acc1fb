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

// bufferConn is a connection that delivers the bytes of a buffer, followed by EOF.
type bufferConn struct {
	net.Conn
	from *bytes.Reader
}

func (c *bufferConn) Read(buffer []byte) (int, error)  { return c.from.Read(buffer) }
func (c *bufferConn) Close() error                     { return nil }
func (c *bufferConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bufferConn) SetWriteDeadline(time.Time) error { return nil }
func (c *bufferConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// withFrame returns a payload in the frame format of transport: length, CRC and payload.
func withFrame(payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)))
	return append(frame, payload...)
}

// Receiving any input, with a valid frame or not, ends with an error or yields complete
// messages, and its memory use is limited by the input's size.
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
		f.Add(withFrame(payload.Bytes()), false)
	}
	f.Add([]byte("\xff\xff\xff\xff\x00\x00\x00\x00"), false)
	f.Add([]byte("\x03\xff\xff\xff\x00\x00\x00\x00"), false)
	f.Fuzz(func(t *testing.T, data []byte, frame bool) {
		if frame {
			data = withFrame(data)
		}
		for _, into := range []func() any{
			func() any { return &fleetwire.ToController{} }, func() any { return &fleetwire.FromController{} },
		} {
			const perByte, base = 512, 2 << 20 // allowed bytes for each input byte, and in addition
			used := allocated(func() {
				conn := transport.NewConn(&bufferConn{from: bytes.NewReader(data)}, transport.Options{})
				for conn.Receive(into()) == nil {
				}
			})
			if used > base+perByte*uint64(len(data)) {
				t.Fatalf("%d bytes allocated for %d", used, len(data))
			}
		}
	})
}
