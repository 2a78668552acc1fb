package requestrecord

import (
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
)

// packedAnswer is an Answer in one allocation: most of the memory of a record
// is answers, and a header map takes several hundred bytes for one field. Nil
// is no answer.
//
// It holds the status, the number of header fields, each field's name and
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
			packed = appendText(packed, name)
			packed = appendText(packed, value)
		}
	}
	return append(packed, answer.Body...)
}

// packedSize is enough for packAnswer, and seldom more than needed.
func packedSize(answer *Answer) int {
	const numbers = 4 // of the status and the count of fields
	size := numbers + len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value) + numbers
		}
	}
	return size
}

func appendText(packed []byte, text string) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(text)))
	return append(packed, text...)
}

// answer returns what packAnswer took, nil for nil.
func (packed packedAnswer) answer() *Answer {
	if packed == nil {
		return nil
	}
	rest := packed
	unpacked := &Answer{Status: int(rest.takeNumber())}
	fields := rest.takeNumber()
	if fields > 0 {
		unpacked.Header = make(http.Header)
	}
	for ; fields > 0 && len(rest) > 0; fields-- {
		name := rest.takeText()
		unpacked.Header[name] = append(unpacked.Header[name], rest.takeText())
	}
	unpacked.Body = rest
	return unpacked
}

func (packed *packedAnswer) takeNumber() uint64 {
	number, length := binary.Uvarint(*packed)
	if length <= 0 {
		*packed = nil // damaged
		return 0
	}
	*packed = (*packed)[length:]
	return number
}

func (packed *packedAnswer) takeText() string {
	length := min(packed.takeNumber(), uint64(len(*packed)))
	text := string((*packed)[:length])
	*packed = (*packed)[length:]
	return text
}
