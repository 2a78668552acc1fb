package router

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// ownHeaderPrefix is the prefix of the product's own headers.
const ownHeaderPrefix = "Quartzdock-"

const headerForwardedFor = "X-Forwarded-For"

// isHopByHop reports whether a header applies to a single connection (RFC 9110,
// 7.6.1) and must not be forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// connectionOptions returns the header names listed in the Connection header.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// copyEndToEndHeaders copies the headers that are forwarded. The product's own
// headers are left out, because each hop sets them itself.
func copyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		if isHopByHop(name) || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range connectionOptions(from) {
		delete(to, name)
	}
}

// maximumAddedHeaders is the maximum number of headers that the router adds.
const maximumAddedHeaders = 11

// hexadecimal is the base of key hashes in headers.
const hexadecimal = 16

// headerSetter sets single-valued headers with canonical names. All values
// share one allocation.
type headerSetter struct {
	header http.Header
	values [maximumAddedHeaders]string
	count  int
}

func (h *headerSetter) set(name, value string) {
	h.values[h.count] = value
	h.count++
	h.header[name] = h.values[h.count-1 : h.count : h.count]
}

// agentHeader builds the header of the request to the agent.
func (f *forwarder) agentHeader(to target) http.Header {
	q := f.request
	result := make(http.Header, len(q.incoming.Header)+maximumAddedHeaders)
	copyEndToEndHeaders(result, q.incoming.Header)
	if _, present := result["User-Agent"]; !present {
		result["User-Agent"] = nil // suppresses net/http's default value
	}
	added := &headerSetter{header: result}
	if forwarded := appendForwardedFor(result, q.incoming.RemoteAddr); forwarded != "" {
		added.set(headerForwardedFor, forwarded)
	}
	remaining := max(time.Until(q.deadline).Milliseconds(), 1)
	added.set(wire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	added.set(wire.HeaderCaller, q.caller)
	added.set(wire.HeaderClass, className(q.class))
	added.set(wire.HeaderRevision, strconv.FormatUint(uint64(to.revision), 10))
	if q.id != "" {
		added.set(wire.HeaderRequestID, q.id)
	}
	if q.nonRepeatable {
		added.set(wire.HeaderNonRepeatable, "true")
	}
	if to.keyed {
		added.set(wire.HeaderShard, to.shard.String())
		added.set(wire.HeaderKey, strconv.FormatUint(uint64(q.keyHash), hexadecimal))
		added.set(wire.HeaderEpoch, strconv.FormatUint(uint64(to.epoch), 10))
	}
	return result
}

// setSingle sets a header to a single value. The name must be in canonical
// form.
func setSingle(header http.Header, name, value string) { header[name] = []string{value} }

// className returns the name of a class in headers.
func className(class topology.RequestClass) string {
	if class == topology.ClassBulk {
		return "bulk"
	}
	return "lookup"
}

// appendForwardedFor returns the value of X-Forwarded-For with the address of
// the sender appended, or "" if the address is unknown.
func appendForwardedFor(header http.Header, remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	if earlier := header[headerForwardedFor]; len(earlier) > 0 {
		return strings.Join(earlier, ", ") + ", " + host
	}
	return host
}
