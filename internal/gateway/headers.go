package gateway

import (
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// Fields between gateways.
const (
	fieldPrefix   = "Quartzdock-"
	fieldService  = fieldPrefix + "Service"
	fieldInstance = fieldPrefix + "Instance"
	fieldPriority = fieldPrefix + "Priority"
	// fieldDue is in how many milliseconds the answer is due, fieldTarget the
	// whole time that it should take.
	fieldDue    = fieldPrefix + "Due-Ms"
	fieldTarget = fieldPrefix + "Target-Ms"
	// fieldTransfer says that the answer is a large one.
	fieldTransfer = fieldPrefix + "Transfer"
	// fieldTrial is the number of the trial by which a suspected request runs.
	fieldTrial = fieldPrefix + "Trial"
	// fieldAtWork is on how many requests the back end was at work when it ended.
	fieldAtWork = fieldPrefix + "At-Work"
	// fieldTellsEnds tells of ends of back ends.
	fieldTellsEnds = fieldPrefix + "Tells-Ends"
	// fieldAsksWord asks for a fleetwire.PeerWord, and names the version that is known.
	fieldAsksWord = fieldPrefix + "Asks-Word"
	fieldOutcome  = fieldPrefix + "Outcome"
	fieldReason   = fieldPrefix + "Reason"
	// fieldSent says that the back end was sent the request.
	fieldSent = fieldPrefix + "Sent"
	fieldLoad = fieldPrefix + "Load"
	// fieldRetryAfter is in how many milliseconds a refused request may be served
	// by the same gateway.
	fieldRetryAfter = fieldPrefix + "Retry-After-Ms"
)

// connectionFields belong to one connection (RFC 9110, section 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardable returns the fields of a header that go on to the next hop.
func forwardable(header http.Header) http.Header {
	result := make(http.Header, len(header)+4)
	for name, values := range header {
		if !strings.HasPrefix(name, fieldPrefix) {
			result[name] = values
		}
	}
	for _, listed := range header["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			delete(result, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(result, name)
	}
	return result
}

// milliseconds writes a duration as whole milliseconds.
func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// parseMilliseconds reads a field of whole milliseconds.
func parseMilliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(value) * time.Millisecond, true
}

// parseKey reads a request's key.
func parseKey(text string) (keyspace.Key, bool) {
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil || value > uint64(keyspace.LastKey) {
		return 0, false
	}
	return keyspace.Key(value), true
}

// bearsUnit makes whole numbers of the requests a second that a cold back end bears.
const bearsUnit = 1000

// formatLoad writes a load for the field between gateways.
func formatLoad(load peerLoad) string {
	buffer := make([]byte, 0, 48)
	buffer = strconv.AppendInt(buffer, int64(load.running), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, int64(load.waiting), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, int64(load.slots), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.serviceTime.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.shortService.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.shortUpTo.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.linkBacklog.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, int64(math.Round(load.bears*bearsUnit)), 10)
	return string(buffer)
}

const (
	// mostRequests and mostSlots bound what is believed of a told load: more than any
	// machine's connections.
	mostRequests = 1 << 20
	mostSlots    = 1 << 16
	// mostMicros bounds its times, and mostBears what a cold back end bears, in
	// thousandths of a request a second.
	mostMicros = int64(24 * time.Hour / time.Microsecond)
	mostBears  = 1_000_000 * bearsUnit
)

// loadBounds are the highest values of a load's fields, in their order.
var loadBounds = [...]int64{mostRequests, mostRequests, mostSlots, mostMicros, mostMicros, mostMicros, mostMicros, mostBears}

// parseLoad reads what formatLoad wrote. Text that it does not write is refused.
func parseLoad(text string) (peerLoad, bool) {
	const longest = 160
	if len(text) > longest || strings.Count(text, ",") != len(loadBounds)-1 {
		return peerLoad{}, false
	}
	var numbers [len(loadBounds)]int64
	rest := text
	for i, most := range loadBounds {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number < 0 || number > most || strconv.FormatInt(number, 10) != part {
			return peerLoad{}, false
		}
		numbers[i] = number
	}
	return peerLoad{
		running: int(numbers[0]), waiting: int(numbers[1]), slots: int(numbers[2]),
		serviceTime:  time.Duration(numbers[3]) * time.Microsecond,
		shortService: time.Duration(numbers[4]) * time.Microsecond,
		shortUpTo:    time.Duration(numbers[5]) * time.Microsecond,
		linkBacklog:  time.Duration(numbers[6]) * time.Microsecond,
		bears:        float64(numbers[7]) / bearsUnit,
	}, true
}
