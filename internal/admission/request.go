package admission

import (
	"fmt"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Class says which reserved slots a request may use.
type Class uint8

// Classes of requests.
const (
	// ClassLookup is for short requests that a person waits for.
	ClassLookup Class = iota
	// ClassWrite is for non-repeatable requests, such as closures and settlements.
	ClassWrite
	// ClassBulk is for long requests, such as map packs and exports.
	ClassBulk

	classCount = 3
)

// String returns the class's name in settings and metrics.
func (c Class) String() string {
	switch c {
	case ClassLookup:
		return "lookup"
	case ClassWrite:
		return "write"
	case ClassBulk:
		return "bulk"
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ClassOf returns the class of a request. Non-repeatable bulk requests count as
// bulk, since they hold a slot for as long as other bulk requests.
func ClassOf(class topology.RequestClass, nonRepeatable bool) Class {
	if class == topology.ClassBulk {
		return ClassBulk
	}
	if nonRepeatable {
		return ClassWrite
	}
	return ClassLookup
}

// Request describes a request to a Queue.
type Request struct {
	// Service that the request is for.
	Service topology.ServiceID
	// Caller names the sender. "/" divides a name into levels, such as
	// "wayfinder/instance-3"; siblings at each level get equal shares.
	Caller string
	Class  Class
	// Deadline is the monotonic reading after which the answer is useless; zero
	// means none.
	Deadline time.Duration
}

// Refusal says why a request will not be run.
type Refusal struct {
	// Reason is wire.ReasonShed or wire.ReasonExpired.
	Reason wire.Reason
	// RetryAfter is how long to wait before a retry; zero for expired requests.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused: %s, retry after %v", r.Reason, r.RetryAfter)
}

// maxLevels bounds the depth of the tree: the service, callerLevels parts of
// the caller's name and the class.
const (
	callerLevels = 3
	maxLevels    = callerLevels + 2
)

// key identifies a child of a tree node. One of its fields is set; class holds
// the class plus one, so that it is never zero.
type key struct {
	service topology.ServiceID
	caller  string
	class   Class
}

// path lists the keys from the root to a request's queue.
type path struct {
	keys  [maxLevels]key
	count int
}

func (p *path) push(k key) {
	p.keys[p.count] = k
	p.count++
}

// policy divides the waiting requests into queues: it returns the path of a
// request's queue in the tree. It allocates nothing.
type policy func(*Request) path

// nested divides by service, by each level of the caller's name and by class.
func nested(request *Request) path {
	var p path
	p.push(key{service: request.Service})
	pushCaller(&p, request.Caller)
	p.push(key{class: request.Class + 1})
	return p
}

// pushCaller adds one key for each part of a caller's name; the last
// of callerLevels keys holds the rest of the name.
func pushCaller(p *path, caller string) {
	for range callerLevels - 1 {
		first, rest, divided := strings.Cut(caller, "/")
		if !divided {
			break
		}
		p.push(key{caller: first})
		caller = rest
	}
	p.push(key{caller: caller})
}
