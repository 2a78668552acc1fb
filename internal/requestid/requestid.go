// Package requestid reads and makes the ids by which a caller names a request
// that must not run twice: UUIDs of version 7 (RFC 9562 section 5.7). The time
// stamp inside an id bounds how old the request can be, which lets an owner
// that lost the record of earlier ids tell new requests from possible repeats
// (docs/decisions/007-request-record.md).
package requestid

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"
)

// Findings of Parse.
var (
	ErrSyntax  = errors.New("not a UUID in the form xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx")
	ErrVersion = errors.New("not a UUID of version 7 and the RFC 9562 variant")
)

const (
	textLength   = 36
	version7     = 0x70
	versionMask  = 0xf0
	variantRFC   = 0x80
	variantMask  = 0xc0
	stampBytes   = 6
	versionByte  = 6
	variantByte  = 8
	stampPadding = 8 - stampBytes
)

// ID is a UUID of version 7 in network byte order.
type ID [16]byte

// groups are the ranges of hexadecimal digits in the text form.
var groups = [...]struct{ from, to int }{{0, 8}, {9, 13}, {14, 18}, {19, 23}, {24, 36}}

// Parse reads the text form, in either case. The error wraps ErrSyntax or
// ErrVersion.
func Parse(text string) (ID, error) {
	if len(text) != textLength {
		return ID{}, fmt.Errorf("request id %.48q: %w", text, ErrSyntax)
	}
	var id ID
	next := 0
	for i, group := range groups {
		if i > 0 && text[group.from-1] != '-' {
			return ID{}, fmt.Errorf("request id %q: %w", text, ErrSyntax)
		}
		count, err := hex.Decode(id[next:], []byte(text[group.from:group.to]))
		if err != nil {
			return ID{}, fmt.Errorf("request id %q: %w", text, ErrSyntax)
		}
		next += count
	}
	if id[versionByte]&versionMask != version7 || id[variantByte]&variantMask != variantRFC {
		return ID{}, fmt.Errorf("request id %q: %w", text, ErrVersion)
	}
	return id, nil
}

// New makes an id from a time and random bits, of which 74 are used.
func New(now time.Time, random [10]byte) ID {
	var id ID
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(now.UnixMilli()))
	copy(id[:stampBytes], stamp[stampPadding:])
	copy(id[stampBytes:], random[:])
	id[versionByte] = id[versionByte]&^versionMask | version7
	id[variantByte] = id[variantByte]&^variantMask | variantRFC
	return id
}

// UnixMilli returns the id's time stamp in milliseconds since 1970 UTC.
func (id ID) UnixMilli() int64 {
	var stamp [8]byte
	copy(stamp[stampPadding:], id[:stampBytes])
	return int64(binary.BigEndian.Uint64(stamp[:]))
}

// String returns the text form in lower case.
func (id ID) String() string {
	var text [textLength]byte
	next := 0
	for i, group := range groups {
		if i > 0 {
			text[group.from-1] = '-'
		}
		width := (group.to - group.from) / 2
		hex.Encode(text[group.from:group.to], id[next:next+width])
		next += width
	}
	return string(text[:])
}
