// Package gobcheck looks at bytes of other processes before encoding/gob does, which
// takes up to 10 MB for a message that says that it is long, whether it comes or not. It
// is pure.
package gobcheck

import (
	"encoding/binary"
	"errors"
)

// ErrLength: a message says that it is longer than what there is.
var ErrLength = errors.New("gob message longer than its bytes")

// Whole checks that data is a sequence of whole messages, each with its length before it
// (encoding/gob, "Encoding Details").
func Whole(data []byte) error {
	for len(data) > 0 {
		length, rest, ok := readLength(data)
		if !ok || length > uint64(len(rest)) {
			return ErrLength
		}
		data = rest[length:]
	}
	return nil
}

// readLength reads an unsigned number as gob writes it: one byte below 128, or the
// negated count of its bytes before them.
func readLength(data []byte) (length uint64, rest []byte, ok bool) {
	const single, most = 0x7f, 8
	if data[0] <= single {
		return uint64(data[0]), data[1:], true
	}
	count := -int(int8(data[0]))
	if count > most || count >= len(data) {
		return 0, nil, false
	}
	var number [most]byte
	copy(number[most-count:], data[1:1+count])
	return binary.BigEndian.Uint64(number[:]), data[1+count:], true
}
