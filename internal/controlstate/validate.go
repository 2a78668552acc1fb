package controlstate

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Bounds of operators' input.
const (
	MaximumShards      = 65536
	MaximumRules       = 100
	MaximumName        = 63
	MaximumRequestID   = 64
	MaximumAuthor      = 128
	MaximumSlots       = 100_000
	MaximumConnections = 100_000
	MaximumTimeout     = time.Hour
	MaximumDrainLimit  = 24 * time.Hour
	MaximumShiftKeys   = 1000
	MaximumShifts      = 10_000
	// MaximumReason bounds the reason kept in a shard's history, in bytes.
	MaximumReason = 120
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
)

// checkEnvelope checks the fields that every operator's change carries.
func checkEnvelope(found *violations, command *Command) {
	id := command.RequestID
	found.require(len(id) >= 1 && len(id) <= MaximumRequestID, "mutation.request_id",
		"has %d characters, want 1 to %d", len(id), MaximumRequestID)
	author := command.Author
	found.require(len(author) >= 1 && len(author) <= MaximumAuthor, "mutation.author",
		"has %d characters, want 1 to %d", len(author), MaximumAuthor)
}

func checkName(found *violations, field, name string) {
	ok := len(name) <= MaximumName && namePattern.MatchString(name)
	found.require(ok, field,
		"%q: want 1 to %d lower case letters, digits and inner hyphens", name, MaximumName)
}

func checkService(found *violations, service *topology.Service) {
	checkName(found, "service.name", service.Name)
	shards := service.InitialShards
	found.require(shards >= 1 && shards <= MaximumShards, "service.initial_shards",
		"%d: want 1 to %d", shards, MaximumShards)
	found.require(len(service.Rules) <= MaximumRules, "service.rules",
		"%d rules: at most %d", len(service.Rules), MaximumRules)
	for index := range service.Rules {
		checkRule(found, fmt.Sprintf("service.rules[%d]", index), &service.Rules[index])
	}
	checkPlacement(found, &service.Placement)
	checkDuration(found, "service.drain_limit", service.DrainLimit, MaximumDrainLimit)
}

func checkRule(found *violations, field string, rule *topology.RequestRule) {
	for index, method := range rule.Methods {
		found.require(methodPattern.MatchString(method), fmt.Sprintf("%s.methods[%d]", field, index),
			"%q: want an HTTP method in upper case", method)
	}
	checkKeySource(found, field+".key", rule.Key)
	found.require(rule.Class <= topology.ClassBulk, field+".class", "unknown class %d", rule.Class)
	checkDuration(found, field+".timeout", rule.Timeout, MaximumTimeout)
}

func checkKeySource(found *violations, field string, key topology.KeySource) {
	switch key.Kind {
	case 0:
		found.require(key.Name == "" && key.Index == 0, field+".kind", "is missing")
	case topology.KeyFromPathSegment:
		found.require(key.Name == "", field+".name", "belongs to a query parameter or a header")
	case topology.KeyFromQuery:
		found.require(key.Name != "", field+".name", "is missing: which query parameter?")
	case topology.KeyFromHeader:
		found.require(headerPattern.MatchString(key.Name), field+".name", "%q: want a header's name", key.Name)
	default:
		found.require(false, field+".kind", "unknown kind %d", key.Kind)
	}
}

func checkPlacement(found *violations, policy *topology.PlacementPolicy) {
	weights := []struct {
		field  string
		weight float64
	}{
		{"service.placement.imbalance_weight", policy.Weights.Imbalance},
		{"service.placement.churn_weight", policy.Weights.Churn},
		{"service.placement.unavailable_weight", policy.Weights.Unavailable},
	}
	for _, entry := range weights {
		ok := entry.weight >= 0 && !math.IsInf(entry.weight, 0)
		found.require(ok, entry.field, "%g: want a finite number, zero or more", entry.weight)
	}
	checkDuration(found, "service.placement.minimum_residence", policy.MinimumResidence, MaximumDrainLimit)
	checkDuration(found, "service.placement.restart_grace", policy.RestartGrace, MaximumTimeout)
}

func checkDuration(found *violations, field string, value, maximum time.Duration) {
	found.require(value >= 0 && value <= maximum, field, "%s: want 0 to %s", value, maximum)
}

func checkBackend(found *violations, backend *topology.Backend) {
	checkName(found, "backend.name", backend.Name)
	found.require(backend.Location.Region != "", "backend.location.region", "is missing")
	found.require(backend.Location.Zone != "", "backend.location.zone", "is missing")
	checkAddress(found, "backend.agent_address", backend.AgentAddress)
	found.require(backend.Slots >= 1 && backend.Slots <= MaximumSlots, "backend.slots",
		"%d: want 1 to %d", backend.Slots, MaximumSlots)
	found.require(backend.Connections >= 1 && backend.Connections <= MaximumConnections,
		"backend.connections", "%d: want 1 to %d", backend.Connections, MaximumConnections)
}

func checkAddress(found *violations, field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	found.require(err == nil && parsed.Port() != 0, field, "%q: want \"IP:port\"", address)
}
