package wire

import (
	"encoding/binary"
	"errors"
	"math"
)

// errDamaged says that packed bytes are cut short or out of range.
var errDamaged = errors.New("wire: damaged packed list")

// unpacker takes values off packed bytes; once damaged it returns zeros.
type unpacker struct {
	rest    []byte
	damaged bool
}

func (r *unpacker) bytes(count int) []byte {
	if len(r.rest) < count {
		r.damaged = true
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

func (r *unpacker) varint() int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.damaged = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *unpacker) uvarint(limit uint64) uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > limit {
		r.damaged = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// number adds a varint to the number before it, both of 32 bits.
func (r *unpacker) number(before int64) uint32 {
	distance := r.varint()
	if distance < -before || distance > math.MaxUint32-before {
		r.damaged = true
		return 0
	}
	return uint32(before + distance)
}

func (r *unpacker) byte() byte {
	taken := r.bytes(1)
	if r.damaged {
		return 0
	}
	return taken[0]
}
