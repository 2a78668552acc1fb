package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// newRequestID returns a UUIDv7 (RFC 9562, section 5.7).
func newRequestID(now time.Time, random *rand.Rand) string {
	const (
		version = 0x7
		variant = 0x8
	)
	milliseconds := uint64(now.UnixMilli()) & (1<<48 - 1)
	high, low := random.Uint64(), random.Uint64()
	return fmt.Sprintf("%08x-%04x-%x%03x-%x%03x-%012x",
		milliseconds>>16, milliseconds&0xffff,
		version, high&0xfff,
		variant|(low>>60)&0x3, (low>>48)&0xfff, low&(1<<48-1))
}
