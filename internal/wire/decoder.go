package wire

import (
	"encoding/binary"
	"errors"
	"math"
)

// errCorrupt reports encoded data that is truncated or holds a value out of
// range.
var errCorrupt = errors.New("wire: corrupt encoded list")

// decoder reads values from encoded data. After the first error it sets corrupt
// and returns zero values.
type decoder struct {
	remaining []byte
	corrupt   bool
}

func (d *decoder) bytes(count int) []byte {
	if len(d.remaining) < count {
		d.corrupt = true
		return nil
	}
	value := d.remaining[:count]
	d.remaining = d.remaining[count:]
	return value
}

func (d *decoder) varint() int64 {
	value, size := binary.Varint(d.remaining)
	if size <= 0 {
		d.corrupt = true
		return 0
	}
	d.remaining = d.remaining[size:]
	return value
}

func (d *decoder) uvarint(limit uint64) uint64 {
	value, size := binary.Uvarint(d.remaining)
	if size <= 0 || value > limit {
		d.corrupt = true
		return 0
	}
	d.remaining = d.remaining[size:]
	return value
}

// addDelta reads a varint and adds it to previous, a number of 32 bits. A sum
// that does not fit in 32 bits marks the data as corrupt.
func (d *decoder) addDelta(previous int64) uint32 {
	delta := d.varint()
	if delta < -previous || delta > math.MaxUint32-previous {
		d.corrupt = true
		return 0
	}
	return uint32(previous + delta)
}

func (d *decoder) byte() byte {
	value := d.bytes(1)
	if d.corrupt {
		return 0
	}
	return value[0]
}
