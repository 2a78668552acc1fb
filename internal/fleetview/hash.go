package fleetview

import (
	"encoding/binary"
	"hash/fnv"
)

// entry is the serialized form of one element of a set, from which the element's part of
// the digest is computed.
type entry []byte

// appendString appends a string, prefixed with its length.
func (e *entry) appendString(text string) {
	e.appendUint(uint64(len(text)))
	*e = append(*e, text...)
}

// appendUint appends a number as a varint.
func (e *entry) appendUint(number uint64) { *e = binary.AppendUvarint(*e, number) }

// sum returns the element's part of a digest: 64-bit FNV-1a, which, unlike hash/maphash,
// gives the same result in all processes.
func (e *entry) sum() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(*e)
	return hash.Sum64()
}
