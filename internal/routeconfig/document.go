// Package routeconfig is the configuration that operators give a fleet as one
// versioned document: which requests go to which service, and how services
// are reached. It is pure: documents and patches go in, a new document or
// findings come out.
//
// A document is never changed in place; Patch.Apply returns another one.
package routeconfig

import "time"

// Version numbers documents. It only grows; zero is no document.
type Version uint64

// Repetition says how often a request may run.
type Repetition uint8

// Kinds of repetition.
const (
	// NonRepeatable requests run at most once for each attempt of a caller.
	NonRepeatable Repetition = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// RepeatableTransfer is Repeatable with a large answer.
	RepeatableTransfer
)

// MayRepeat says that a request may run more than once.
func (r Repetition) MayRepeat() bool { return r != NonRepeatable }

// Destination is one service of a route with its share.
type Destination struct {
	Service string
	// Weight is the destination's part of the sum of its route's weights.
	Weight uint32
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	// Name is unique in a document.
	Name string
	Host string
	// PathPrefix begins and ends with a slash; the longest that begins a path
	// wins.
	PathPrefix string
	Repetition Repetition
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Attempts is the most back ends that one request may be sent to.
	Attempts     int
	Destinations []Destination
	// Source is the operator's own text of the route, kept to be read back.
	Source []byte
}

// GrantMode says how the back ends of a keyed service are told which keys they
// hold.
type GrantMode uint8

// Modes.
const (
	// GrantByCall: the gateway beside a back end calls it.
	GrantByCall GrantMode = iota
	// GrantByHeartbeat: the answer to a back end's heartbeat tells it.
	GrantByHeartbeat
)

// Service is a group of back ends that serve the same requests.
type Service struct {
	Name string
	// HealthPath answers whether a back end considers itself healthy.
	HealthPath string
	// MaxConnections is what one back end accepts from all callers together.
	MaxConnections int
	// Keyed services divide the key space among their back ends.
	Keyed bool
	// Grants is how the back ends of a keyed service get their keys.
	Grants GrantMode
	// Warm is how long keys are slow that came without a handover.
	Warm time.Duration
	// WarmupRate is how many requests a second a cold back end bears; zero is any
	// number. Warmup is how long one is cold after its start.
	WarmupRate float64
	Warmup     time.Duration
	// Source is the operator's own text of the service, kept to be read back.
	Source []byte
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a header, IdleTimeout the rest of a
	// kept connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Source is the operator's own text of the limits, kept to be read back.
	Source []byte
}

// Document is a whole configuration.
type Document struct {
	Version  Version
	Limits   Limits
	Routes   []Route
	Services []Service
}

// Service returns the service of a name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}
