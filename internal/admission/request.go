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
	// ClassLookup is short work that a person waits for.
	ClassLookup Class = iota
	// ClassWrite is non-repeatable work: closures, settlements.
	ClassWrite
	// ClassBulk is long work: map packs, exports.
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

// ClassOf gives the class of a request. Bulk work stays bulk when it is
// non-repeatable, since it holds a slot for as long.
func ClassOf(class topology.RequestClass, nonRepeatable bool) Class {
	if class == topology.ClassBulk {
		return ClassBulk
	}
	if nonRepeatable {
		return ClassWrite
	}
	return ClassLookup
}

// Request is what a Queue needs to know of a request.
type Request struct {
	// Service that the request is for.
	Service topology.ServiceID
	// Caller is who sends it. A name may be divided by "/" into levels, such
	// as "wayfinder/instance-3"; each level is treated fairly among its kind.
	Caller string
	Class  Class
	// Deadline is the monotonic reading after which the answer is of no use;
	// zero is none.
	Deadline time.Duration
}

// Refusal says why a request will not be run.
type Refusal struct {
	// Reason is wire.ReasonShed or wire.ReasonExpired.
	Reason wire.Reason
	// RetryAfter is when it is worth asking again; zero for expired requests.
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

// key names a child of a tree node. One of its fields is set.
type key struct {
	service topology.ServiceID
	caller  string
	class   Class
}

// path is the way from the root to a request's queue.
type path struct {
	keys  [maxLevels]key
	count int
}

func (p *path) push(k key) {
	p.keys[p.count] = k
	p.count++
}

// policy divides the waiting requests into queues: it gives a request's way
// through the tree and allocates nothing.
type policy func(*Request) path

// nested divides by service, by each level of the caller's name and by class.
func nested(request *Request) path {
	var way path
	way.push(key{service: request.Service})
	pushCaller(&way, request.Caller)
	way.push(key{class: request.Class + 1})
	return way
}

// pushCaller adds one key for each part of a caller's name; what is left
// after callerLevels parts stays together.
func pushCaller(way *path, caller string) {
	for range callerLevels - 1 {
		first, rest, divided := strings.Cut(caller, "/")
		if !divided {
			break
		}
		way.push(key{caller: first})
		caller = rest
	}
	way.push(key{caller: caller})
}
