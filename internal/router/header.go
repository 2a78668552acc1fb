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

// internalPrefix starts the names of the product's own headers.
const internalPrefix = "Quartzdock-"

const headerForwardedFor = "X-Forwarded-For"

// hopByHop says whether a header belongs to one connection only (RFC 9110,
// 7.6.1) and is not passed on.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// namedByConnection returns the headers that the Connection header lists.
func namedByConnection(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// copyEndToEnd copies the headers that are passed on. Those of the product are
// set anew by each hop.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if hopByHop(name) || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range namedByConnection(from) {
		delete(to, name)
	}
}

// ownHeaders is how many headers the router adds at most.
const ownHeaders = 11

// hexadecimal is the base of key positions in headers.
const hexadecimal = 16

// headerValues sets headers of one value each, whose names are in canonical
// form. The values share one allocation.
type headerValues struct {
	header http.Header
	values [ownHeaders]string
	count  int
}

func (h *headerValues) set(name, value string) {
	h.values[h.count] = value
	h.count++
	h.header[name] = h.values[h.count-1 : h.count : h.count]
}

// outgoingHeader makes the header for the agent.
func (f *forwarding) outgoingHeader(to target) http.Header {
	q := f.request
	made := make(http.Header, len(q.incoming.Header)+ownHeaders)
	copyEndToEnd(made, q.incoming.Header)
	if _, present := made["User-Agent"]; !present {
		made["User-Agent"] = nil // keeps net/http from naming itself
	}
	own := &headerValues{header: made}
	if forwarded := forwardedFor(made, q.incoming.RemoteAddr); forwarded != "" {
		own.set(headerForwardedFor, forwarded)
	}
	left := max(time.Until(q.deadline).Milliseconds(), 1)
	own.set(wire.HeaderDeadline, strconv.FormatInt(left, 10))
	own.set(wire.HeaderCaller, q.caller)
	own.set(wire.HeaderClass, className(q.class))
	own.set(wire.HeaderRevision, strconv.FormatUint(uint64(to.revision), 10))
	if q.id != "" {
		own.set(wire.HeaderRequestID, q.id)
	}
	if q.nonRepeatable {
		own.set(wire.HeaderNonRepeatable, "true")
	}
	if to.keyed {
		own.set(wire.HeaderShard, to.shard.String())
		own.set(wire.HeaderKey, strconv.FormatUint(uint64(q.position), hexadecimal))
		own.set(wire.HeaderEpoch, strconv.FormatUint(uint64(to.epoch), 10))
	}
	return made
}

// setOne sets a header whose name is in canonical form.
func setOne(header http.Header, name, value string) { header[name] = []string{value} }

func className(class topology.RequestClass) string {
	if class == topology.ClassBulk {
		return "bulk"
	}
	return "lookup"
}

// forwardedFor adds the sender's address to those that the request came by.
func forwardedFor(header http.Header, remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	if earlier := header[headerForwardedFor]; len(earlier) > 0 {
		return strings.Join(earlier, ", ") + ", " + host
	}
	return host
}
