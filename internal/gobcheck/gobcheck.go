// Package gobcheck checks the message lengths in untrusted gob data before encoding/gob reads
// it. The gob decoder allocates up to 10 MB for the length that a message claims, even if the
// bytes never arrive. The package is pure.
package gobcheck

import (
	"encoding/binary"
	"errors"
)

// ErrTruncated means that a message claims to be longer than the data that follows.
var ErrTruncated = errors.New("gob message length exceeds the available bytes")

// CheckLengths checks that data is a sequence of complete messages, each prefixed with its length
// (encoding/gob, "Encoding Details").
func CheckLengths(data []byte) error {
	for len(data) > 0 {
		length, rest, ok := readLength(data)
		if !ok || length > uint64(len(rest)) {
			return ErrTruncated
		}
		data = rest[length:]
	}
	return nil
}

// readLength decodes an unsigned integer in gob's encoding: a single byte if it is below 128,
// otherwise the negated byte count followed by the bytes in big-endian order.
func readLength(data []byte) (length uint64, rest []byte, ok bool) {
	const maxSingleByte, maxBytes = 0x7f, 8
	if data[0] <= maxSingleByte {
		return uint64(data[0]), data[1:], true
	}
	count := -int(int8(data[0]))
	if count > maxBytes || count >= len(data) {
		return 0, nil, false
	}
	var number [maxBytes]byte
	copy(number[maxBytes-count:], data[1:1+count])
	return binary.BigEndian.Uint64(number[:]), data[1+count:], true
}
