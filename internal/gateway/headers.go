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

// Header fields between gateways.
const (
	fieldPrefix   = "Quartzdock-"
	fieldService  = fieldPrefix + "Service"
	fieldInstance = fieldPrefix + "Instance"
	fieldPriority = fieldPrefix + "Priority"
	// fieldDue is the time until the response is due, and fieldTarget the target latency,
	// both in milliseconds.
	fieldDue    = fieldPrefix + "Due-Ms"
	fieldTarget = fieldPrefix + "Target-Ms"
	// fieldTransfer is set if a large response is expected.
	fieldTransfer = fieldPrefix + "Transfer"
	// fieldTrial is the number of the trial under which a suspected request runs.
	fieldTrial = fieldPrefix + "Trial"
	// fieldLimit is the rate limit that the instance stated, as the sender knows, and
	// fieldAdmitsAfter the time in milliseconds until it has room for another request.
	fieldLimit       = fieldPrefix + "Limit"
	fieldAdmitsAfter = fieldPrefix + "Admits-After-Ms"
	// fieldRequestsRunning is how many requests the back end was running when it crashed.
	fieldRequestsRunning = fieldPrefix + "At-Work"
	// fieldReportsCrashes marks a message about crashed back ends.
	fieldReportsCrashes = fieldPrefix + "Tells-Ends"
	// fieldKnownVersion requests a fleetwire.RelayedState and names the version that the sender
	// has.
	fieldKnownVersion = fieldPrefix + "Asks-Word"
	// fieldTakesToken requests a token of a tenant's quota, and fieldReturnsToken gives one back;
	// each names the tenant.
	fieldTakesToken   = fieldPrefix + "Takes-Token"
	fieldReturnsToken = fieldPrefix + "Returns-Token"
	fieldOutcome      = fieldPrefix + "Outcome"
	fieldReason       = fieldPrefix + "Reason"
	// fieldSent is set if the request was sent to the back end.
	fieldSent = fieldPrefix + "Sent"
	fieldLoad = fieldPrefix + "Load"
	// fieldRetryAfter is the time in milliseconds until the same gateway may be able to
	// serve a refused request.
	fieldRetryAfter = fieldPrefix + "Retry-After-Ms"
)

// connectionFields apply to one connection only (RFC 9110, section 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardable returns the header fields that are passed to the next hop.
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

// milliseconds formats a duration as whole milliseconds.
func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// parseMilliseconds parses a number of whole milliseconds.
func parseMilliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(value) * time.Millisecond, true
}

// parseKey parses a request's key.
func parseKey(text string) (keyspace.Key, bool) {
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil || value > uint64(keyspace.LastKey) {
		return 0, false
	}
	return keyspace.Key(value), true
}

// maxRateUnit scales the rate that a back end can serve, in requests a second, to a whole
// number.
const maxRateUnit = 1000

// formatLoad formats a load for the header field between gateways.
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
	buffer = strconv.AppendInt(buffer, load.shortServiceTime.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.shortMaxTarget.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, load.linkBacklog.Microseconds(), 10)
	buffer = append(buffer, ',')
	buffer = strconv.AppendInt(buffer, int64(math.Round(min(load.maxRate, maxReportedRate)*maxRateUnit)), 10)
	return string(buffer)
}

const (
	// maxLoadRequests and maxLoadSlots are the highest counts that are accepted in a
	// reported load: more than the connections of any machine.
	maxLoadRequests = 1 << 20
	maxLoadSlots    = 1 << 16
	// maxLoadMicros is the longest duration that is accepted, and maxReportedRate the highest
	// rate in requests a second.
	maxLoadMicros   = int64(24 * time.Hour / time.Microsecond)
	maxReportedRate = 1_000_000
)

// maxLoadValues are the highest accepted values of a load's numbers, in their order.
var maxLoadValues = [...]int64{maxLoadRequests, maxLoadRequests, maxLoadSlots, maxLoadMicros, maxLoadMicros, maxLoadMicros, maxLoadMicros, maxReportedRate * maxRateUnit}

// parseLoad parses the format of formatLoad and rejects any text that formatLoad can't
// produce.
func parseLoad(text string) (peerLoad, bool) {
	const maxLength = 160
	if len(text) > maxLength || strings.Count(text, ",") != len(maxLoadValues)-1 {
		return peerLoad{}, false
	}
	var numbers [len(maxLoadValues)]int64
	rest := text
	for i, limit := range maxLoadValues {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number < 0 || number > limit || strconv.FormatInt(number, 10) != part {
			return peerLoad{}, false
		}
		numbers[i] = number
	}
	return peerLoad{
		running: int(numbers[0]), waiting: int(numbers[1]), slots: int(numbers[2]),
		serviceTime:      time.Duration(numbers[3]) * time.Microsecond,
		shortServiceTime: time.Duration(numbers[4]) * time.Microsecond,
		shortMaxTarget:   time.Duration(numbers[5]) * time.Microsecond,
		linkBacklog:      time.Duration(numbers[6]) * time.Microsecond,
		maxRate:          float64(numbers[7]) / maxRateUnit,
	}, true
}
