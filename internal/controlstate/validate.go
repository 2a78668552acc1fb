package controlstate

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Limits of the fields of operator commands.
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
	// MaximumReason is the maximum length of the reason in a shard's history, in
	// bytes.
	MaximumReason = 120
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
)

// checkRequestFields validates the fields that all operator commands have.
func checkRequestFields(violations *violationList, command *Command) {
	id := command.RequestID
	violations.require(len(id) >= 1 && len(id) <= MaximumRequestID, "mutation.request_id",
		"has %d characters, want 1 to %d", len(id), MaximumRequestID)
	author := command.Author
	violations.require(len(author) >= 1 && len(author) <= MaximumAuthor, "mutation.author",
		"has %d characters, want 1 to %d", len(author), MaximumAuthor)
}

func checkName(violations *violationList, field, name string) {
	ok := len(name) <= MaximumName && namePattern.MatchString(name)
	violations.require(ok, field,
		"%q: want 1 to %d lower case letters, digits and inner hyphens", name, MaximumName)
}

func checkService(violations *violationList, service *topology.Service) {
	checkName(violations, "service.name", service.Name)
	shards := service.InitialShards
	violations.require(shards >= 1 && shards <= MaximumShards, "service.initial_shards",
		"%d: want 1 to %d", shards, MaximumShards)
	violations.require(len(service.Rules) <= MaximumRules, "service.rules",
		"%d rules: at most %d", len(service.Rules), MaximumRules)
	for index := range service.Rules {
		checkRule(violations, fmt.Sprintf("service.rules[%d]", index), &service.Rules[index])
	}
	checkPlacement(violations, &service.Placement)
	checkDuration(violations, "service.drain_limit", service.DrainLimit, MaximumDrainLimit)
}

func checkRule(violations *violationList, field string, rule *topology.RequestRule) {
	for index, method := range rule.Methods {
		violations.require(methodPattern.MatchString(method), fmt.Sprintf("%s.methods[%d]", field, index),
			"%q: want an HTTP method in upper case", method)
	}
	checkKeySource(violations, field+".key", rule.Key)
	violations.require(rule.Class <= topology.ClassBulk, field+".class", "unknown class %d", rule.Class)
	checkDuration(violations, field+".timeout", rule.Timeout, MaximumTimeout)
}

func checkKeySource(violations *violationList, field string, key topology.KeySource) {
	switch key.Kind {
	case 0:
		violations.require(key.Name == "" && key.Index == 0, field+".kind", "is missing")
	case topology.KeyFromPathSegment:
		violations.require(key.Name == "", field+".name", "belongs to a query parameter or a header")
	case topology.KeyFromQuery:
		violations.require(key.Name != "", field+".name", "is missing: which query parameter?")
	case topology.KeyFromHeader:
		violations.require(headerPattern.MatchString(key.Name), field+".name", "%q: want a header's name", key.Name)
	default:
		violations.require(false, field+".kind", "unknown kind %d", key.Kind)
	}
}

func checkPlacement(violations *violationList, policy *topology.PlacementPolicy) {
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
		violations.require(ok, entry.field, "%g: want a finite number, zero or more", entry.weight)
	}
	checkDuration(violations, "service.placement.minimum_residence", policy.MinimumResidence, MaximumDrainLimit)
	checkDuration(violations, "service.placement.restart_grace", policy.RestartGrace, MaximumTimeout)
}

func checkDuration(violations *violationList, field string, value, maximum time.Duration) {
	violations.require(value >= 0 && value <= maximum, field, "%s: want 0 to %s", value, maximum)
}

func checkBackend(violations *violationList, backend *topology.Backend) {
	checkName(violations, "backend.name", backend.Name)
	violations.require(backend.Location.Region != "", "backend.location.region", "is missing")
	violations.require(backend.Location.Zone != "", "backend.location.zone", "is missing")
	checkAddress(violations, "backend.agent_address", backend.AgentAddress)
	violations.require(backend.Slots >= 1 && backend.Slots <= MaximumSlots, "backend.slots",
		"%d: want 1 to %d", backend.Slots, MaximumSlots)
	violations.require(backend.Connections >= 1 && backend.Connections <= MaximumConnections,
		"backend.connections", "%d: want 1 to %d", backend.Connections, MaximumConnections)
}

func checkAddress(violations *violationList, field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	violations.require(err == nil && parsed.Port() != 0, field, "%q: want \"IP:port\"", address)
}
