package requestrecord

import (
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
)

// packedAnswer is an Answer encoded in one allocation, since answers take most of
// the memory of a record and a header map takes several hundred bytes for one
// field. Nil means no answer.
//
// The encoding is the status, the number of header fields, each field's name and
// value with their lengths, and the body.
type packedAnswer []byte

func packAnswer(answer *Answer) packedAnswer {
	if answer == nil {
		return nil
	}
	packed := make([]byte, 0, packedSize(answer))
	packed = binary.AppendUvarint(packed, uint64(answer.Status))
	fields := 0
	for _, values := range answer.Header {
		fields += len(values)
	}
	packed = binary.AppendUvarint(packed, uint64(fields))
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		for _, value := range answer.Header[name] {
			packed = appendString(packed, name)
			packed = appendString(packed, value)
		}
	}
	return append(packed, answer.Body...)
}

// packedSize returns a capacity that is enough for ordinary answers and seldom
// too large.
func packedSize(answer *Answer) int {
	const numbers = 4 // bytes for the status and the number of fields, or for two lengths
	size := numbers + len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value) + numbers
		}
	}
	return size
}

func appendString(packed []byte, text string) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(text)))
	return append(packed, text...)
}

// answer decodes the answer, nil for nil. Damaged input gives some answer, but no
// panic.
func (packed packedAnswer) answer() *Answer {
	if packed == nil {
		return nil
	}
	remaining := packed
	unpacked := &Answer{Status: int(remaining.readUvarint())}
	fields := remaining.readUvarint()
	if fields > 0 {
		unpacked.Header = make(http.Header)
	}
	for ; fields > 0 && len(remaining) > 0; fields-- {
		name := remaining.readString()
		unpacked.Header[name] = append(unpacked.Header[name], remaining.readString())
	}
	unpacked.Body = remaining
	return unpacked
}

func (packed *packedAnswer) readUvarint() uint64 {
	number, length := binary.Uvarint(*packed)
	if length <= 0 {
		*packed = nil // damaged
		return 0
	}
	*packed = (*packed)[length:]
	return number
}

func (packed *packedAnswer) readString() string {
	length := min(packed.readUvarint(), uint64(len(*packed)))
	text := string((*packed)[:length])
	*packed = (*packed)[length:]
	return text
}
