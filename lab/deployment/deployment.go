// Package deployment describes what the lab runs: zones and their distances,
// services with their rules, back ends with slots, connections and costs, and
// the load that callers offer. A deployment is a YAML file; see deployments/.
package deployment

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/quartzdock/quartzdock/deployments"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Deployment is one installation of the product with its users' servers and
// callers.
type Deployment struct {
	// Name of the deployment.
	Name string `yaml:"name"`
	// Region in which all zones lie.
	Region topology.RegionName `yaml:"region"`
	// Zones of the region; processes are spread over them in order.
	Zones []topology.ZoneName `yaml:"zones"`
	// ZoneDistance is the one-way delay between two zones.
	ZoneDistance time.Duration `yaml:"zone_distance"`
	// ClientDistance is the one-way delay between callers and the region.
	ClientDistance time.Duration `yaml:"client_distance"`
	// Controllers is how many machines with disks hold the control state.
	Controllers int `yaml:"controllers"`
	// Routers is how many routers serve callers.
	Routers int `yaml:"routers"`
	// Services in the order of their creation.
	Services []Service `yaml:"services"`
}

// Service is one service, its back ends and the load that it gets.
type Service struct {
	// Name of the service; its path prefix is "/" + Name + "/".
	Name string `yaml:"name"`
	// DividedByKey says that the service divides its requests by their key.
	// Otherwise any back end may serve any request.
	DividedByKey bool `yaml:"divided_by_key"`
	// Shards at creation.
	Shards uint32 `yaml:"shards"`
	// Backends is how many back ends the service has.
	Backends int `yaml:"backends"`
	// Backend says what each of them can do.
	Backend Backend `yaml:"backend"`
	// Weights of the three measures; only their ratio counts.
	Weights Weights `yaml:"weights"`
	// Keys that callers ask for.
	Keys Keys `yaml:"keys"`
	// Operations that callers perform; their rates add up to the offered load.
	Operations []Operation `yaml:"operations"`
}

// Backend says what one back end can do and what its operations cost.
type Backend struct {
	// Slots is how many requests run at once.
	Slots uint32 `yaml:"slots"`
	// Connections is how many connections are accepted.
	Connections uint32 `yaml:"connections"`
	// ConnectCost is the time that accepting a connection takes.
	ConnectCost time.Duration `yaml:"connect_cost"`
	// ProbeCost is the time that a health probe takes.
	ProbeCost time.Duration `yaml:"probe_cost"`
	// ColdStart is the time that preparing a shard's state takes.
	ColdStart time.Duration `yaml:"cold_start"`
}

// Weights of the three measures for one service.
type Weights struct {
	Imbalance   float64 `yaml:"imbalance"`
	Churn       float64 `yaml:"churn"`
	Unavailable float64 `yaml:"unavailable"`
}

// Keys says which keys callers ask for and how often.
type Keys struct {
	// Count of distinct keys, "key-0" to "key-(Count-1)".
	Count int `yaml:"count"`
	// Skew is the exponent of the Zipf distribution of popularity: zero is
	// uniform; about 1 is usual for caches of web content.
	Skew float64 `yaml:"skew"`
}

// Operation is one kind of request.
type Operation struct {
	// Name of the operation and its first path segment below the service.
	Name string `yaml:"name"`
	// Method of HTTP.
	Method string `yaml:"method"`
	// Bulk marks long transfers; all else are look-ups.
	Bulk bool `yaml:"bulk"`
	// NonRepeatable operations run at most once.
	NonRepeatable bool `yaml:"non_repeatable"`
	// Rate offered in requests a second, of all callers together.
	Rate float64 `yaml:"rate"`
	// Work is the mean time that the operation holds a slot, without the
	// transfer of its answer.
	Work time.Duration `yaml:"work"`
	// Pace is the time over which the answer is sent; zero sends it at once.
	Pace time.Duration `yaml:"pace"`
	// RequestBytes and AnswerBytes are the sizes of the bodies.
	RequestBytes int `yaml:"request_bytes"`
	AnswerBytes  int `yaml:"answer_bytes"`
	// Deadline that callers state.
	Deadline time.Duration `yaml:"deadline"`
}

// Load reads a deployment: the file at path, or where path has no separator
// and no extension, the built-in deployment of that name.
func Load(path string) (*Deployment, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("deployment %q: %w", path, err)
	}
	return Parse(text)
}

func readFile(path string) ([]byte, error) {
	if strings.ContainsAny(path, "/.") {
		return os.ReadFile(path)
	}
	return fs.ReadFile(deployments.Files, path+".yaml")
}

// Parse reads a deployment from YAML. Unknown fields are errors.
func Parse(text []byte) (*Deployment, error) {
	var parsed Deployment
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("parse deployment: %w", err)
	}
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	return &parsed, nil
}

func (d *Deployment) validate() error {
	var findings []error
	report := func(wrong bool, format string, arguments ...any) {
		if wrong {
			findings = append(findings, fmt.Errorf(format, arguments...))
		}
	}
	report(d.Name == "", "name: is empty")
	report(len(d.Zones) == 0, "zones: none given")
	report(d.Controllers < 1, "controllers: %d, want at least 1", d.Controllers)
	report(d.Routers < 1, "routers: %d, want at least 1", d.Routers)
	report(len(d.Services) == 0, "services: none given")
	for index, service := range d.Services {
		place := fmt.Sprintf("services[%d]", index)
		report(service.Name == "", "%s.name: is empty", place)
		report(service.Shards < 1, "%s.shards: want at least 1", place)
		report(service.Backends < 1, "%s.backends: want at least 1", place)
		report(service.Backend.Slots < 1, "%s.backend.slots: want at least 1", place)
		report(service.Backend.Connections < service.Backend.Slots,
			"%s.backend.connections: %d, fewer than slots", place, service.Backend.Connections)
		report(service.Keys.Count < 1, "%s.keys.count: want at least 1", place)
		report(len(service.Operations) == 0, "%s.operations: none given", place)
		for number, operation := range service.Operations {
			report(operation.Name == "" || operation.Method == "" || operation.Deadline <= 0,
				"%s.operations[%d]: name, method and deadline are required", place, number)
		}
	}
	return errors.Join(findings...)
}

// Rate returns the offered load of a service in requests a second.
func (s Service) Rate() float64 {
	var total float64
	for _, operation := range s.Operations {
		total += operation.Rate
	}
	return total
}

// BusySlots returns how many slots the offered load of a service keeps busy on
// average (Little's law).
func (s Service) BusySlots() float64 {
	var busy float64
	for _, operation := range s.Operations {
		busy += operation.Rate * operation.Work.Seconds()
	}
	return busy
}

// Operation returns the operation of that name.
func (s Service) Operation(name string) (Operation, bool) {
	for _, operation := range s.Operations {
		if operation.Name == name {
			return operation, true
		}
	}
	return Operation{}, false
}

// Service returns the service of that name.
func (d *Deployment) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
