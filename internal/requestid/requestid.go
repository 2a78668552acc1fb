// Package requestid parses and generates the IDs with which callers identify
// requests that must not run twice: UUIDs of version 7 (RFC 9562 section 5.7).
// The timestamp in an ID bounds the age of the request. It lets an owner that lost
// its record of earlier IDs distinguish new requests from possible repeats
// (docs/decisions/007-request-record.md).
package requestid

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"
)

// Errors that Parse wraps.
var (
	ErrSyntax  = errors.New("not a UUID in the form xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx")
	ErrVersion = errors.New("not a UUID of version 7 and the RFC 9562 variant")
)

const (
	textLength       = 36
	version7         = 0x70
	versionMask      = 0xf0
	variantRFC       = 0x80
	variantMask      = 0xc0
	timestampBytes   = 6
	versionByte      = 6
	variantByte      = 8
	timestampPadding = 8 - timestampBytes
)

// ID is a UUID of version 7 in network byte order.
type ID [16]byte

// hexGroups holds the ranges of hexadecimal digits in the text form.
var hexGroups = [...]struct{ from, to int }{{0, 8}, {9, 13}, {14, 18}, {19, 23}, {24, 36}}

// Parse parses the text form in upper or lower case. Errors wrap ErrSyntax or
// ErrVersion.
func Parse(text string) (ID, error) {
	if len(text) != textLength {
		return ID{}, fmt.Errorf("request id %.48q: %w", text, ErrSyntax)
	}
	var id ID
	next := 0
	for i, group := range hexGroups {
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

// New returns an ID with the given time and 74 of the given random bits.
func New(now time.Time, random [10]byte) ID {
	var id ID
	var timestamp [8]byte
	binary.BigEndian.PutUint64(timestamp[:], uint64(now.UnixMilli()))
	copy(id[:timestampBytes], timestamp[timestampPadding:])
	copy(id[timestampBytes:], random[:])
	id[versionByte] = id[versionByte]&^versionMask | version7
	id[variantByte] = id[variantByte]&^variantMask | variantRFC
	return id
}

// UnixMilli returns the ID's timestamp in milliseconds since the Unix epoch.
func (id ID) UnixMilli() int64 {
	var timestamp [8]byte
	copy(timestamp[timestampPadding:], id[:timestampBytes])
	return int64(binary.BigEndian.Uint64(timestamp[:]))
}

// String returns the text form in lower case.
func (id ID) String() string {
	var text [textLength]byte
	next := 0
	for i, group := range hexGroups {
		if i > 0 {
			text[group.from-1] = '-'
		}
		width := (group.to - group.from) / 2
		hex.Encode(text[group.from:group.to], id[next:next+width])
		next += width
	}
	return string(text[:])
}
