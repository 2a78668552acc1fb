// Package routeconfig holds the route configuration of a fleet, which operators
// provide as one versioned document: which requests go to which service, and how
// services are reached. The package does no input or output; it validates
// documents and applies patches to them.
//
// Documents are immutable; Patch.Apply returns a new one.
package routeconfig

import "time"

// Version is the version number of a document. It only increases; zero means that
// there is no document.
type Version uint64

// Repetition says whether requests may be executed more than once.
type Repetition uint8

// Values of Repetition.
const (
	// NonRepeatable requests are executed at most once for each attempt of a
	// caller.
	NonRepeatable Repetition = iota
	// Repeatable requests may be executed any number of times (idempotent).
	Repeatable
	// RepeatableTransfer requests are Repeatable and have large responses.
	RepeatableTransfer
)

// MayRepeat reports whether a request may be executed more than once.
func (r Repetition) MayRepeat() bool { return r != NonRepeatable }

// Destination is a service of a route with its weight.
type Destination struct {
	Service string
	// Weight determines the destination's share of requests, in proportion to the
	// sum of the route's weights.
	Weight uint32
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	// Name is unique in a document.
	Name string
	Host string
	// PathPrefix begins and ends with a slash. The matching route with the longest
	// prefix is used.
	PathPrefix string
	Repetition Repetition
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the time within which a response is most useful to the
	// caller.
	TargetLatency time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the largest number of back ends that one request is sent to.
	Attempts     int
	Destinations []Destination
	// AuthExempt routes accept requests without an API key.
	AuthExempt bool
	// AllowedRegions are the regions whose back ends may run the route's requests; empty means
	// all.
	AllowedRegions []string
	// Source is the operator's original text of the route, kept so that it can be
	// read back.
	Source []byte
}

// GrantMode says how the back ends of a keyed service learn which keys they own.
type GrantMode uint8

// Values of GrantMode.
const (
	// GrantByCall: the gateway next to the back end calls it.
	GrantByCall GrantMode = iota
	// GrantByHeartbeat: the response to the back end's heartbeat tells it.
	GrantByHeartbeat
)

// Service is a group of back ends that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the back ends' health check.
	HealthPath string
	// MaxConnections is how many connections one back end accepts from all callers
	// together.
	MaxConnections int
	// Keyed services divide the key space among their back ends.
	Keyed bool
	// Grants is how the back ends of a keyed service learn which keys they own.
	Grants GrantMode
	// Warm is how long requests for a key are slow after a back end got the key
	// without a handover.
	Warm time.Duration
	// WarmupRate limits the requests a second that a back end gets during its
	// warmup; zero means no limit. Warmup is the duration of the warmup after the
	// start of a back end.
	WarmupRate float64
	Warmup     time.Duration
	// Source is the operator's original text of the service, kept so that it can
	// be read back.
	Source []byte
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time to read a request header, IdleTimeout the idle
	// time of a kept-alive connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Source is the operator's original text of the limits, kept so that it can be
	// read back.
	Source []byte
}

// Document is a complete route configuration.
type Document struct {
	Version  Version
	Limits   Limits
	Routes   []Route
	Services []Service
	// Tenants are the callers. If there are any, each request on a route that isn't exempt must
	// carry an API key of one of them.
	Tenants []Tenant
}

// Service returns the service with a name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}
