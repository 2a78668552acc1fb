package fleetview

import (
	"encoding/binary"
	"hash/fnv"
)

// entry is one entry of a set as bytes, for its part of the digest.
type entry []byte

// text adds a text with its length.
func (e *entry) text(text string) {
	e.number(uint64(len(text)))
	*e = append(*e, text...)
}

// number adds a number.
func (e *entry) number(number uint64) { *e = binary.AppendUvarint(*e, number) }

// sum is the entry's part of a digest: FNV-1a of 64 bits, which all processes
// compute alike.
func (e *entry) sum() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(*e)
	return hash.Sum64()
}
