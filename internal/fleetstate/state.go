// Package fleetstate is the replicated state of a fleet of gateways: the
// configuration document, the owners of keys, evacuated zones, suspect requests,
// announced departures of back ends and silent controllers. It is a deterministic state
// machine, driven by the commands of a replicated log.
//
// # Changes of the configuration
//
// Each change carries a digest of its content and the version that it is based on.
// Apply checks in this order:
//
//  1. A change that has been accepted before gets the same response again, however
//     late it is repeated.
//  2. The base version must be the current one, so that of several changes based
//     on the same version exactly one is accepted.
//  3. The whole resulting document is validated; every finding is reported.
//
// # Ownership
//
// The fence of an owner is the index of the log entry that made it the owner,
// and is therefore higher than all earlier fences.
package fleetstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/gobcheck"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/seats"
)

// Digest identifies the content of a change.
type Digest [sha256.Size]byte

// ChangeConfiguration replaces the document, or patches it.
type ChangeConfiguration struct {
	Digest Digest
	// Base is the version that the change is based on.
	Base routeconfig.Version
	// Exactly one of Document and Patch is set.
	Document *routeconfig.Document
	Patch    *routeconfig.Patch
}

// OwnershipChange moves a range of keys to another owner.
type OwnershipChange struct {
	Service  string
	Keys     keyspace.Range
	From, To string
	// Node is the local gateway of To, and Boot identifies the gateway process.
	Node string
	Boot uint64
	// Handover is the data that the previous owner left for To.
	Handover string
}

// ChangeOwnership is a batch of changes. Changes that don't match the current owners
// are skipped.
type ChangeOwnership struct{ Changes []OwnershipChange }

// Command is the content of a log entry. At most one pointer is set; a command with none
// changes nothing.
type Command struct {
	Configuration *ChangeConfiguration
	Ownership     *ChangeOwnership
	Evacuation    *ChangeEvacuation
	Quarantine    *quarantine.Change
	Departures    *departure.Change
	Silence       *SilenceRecord
}

// SilenceRecord replaces the record of controllers that were not heard by their leader.
type SilenceRecord struct{ Members seats.Record }

// Encode returns the command as the data of a log entry.
func (c *Command) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(c); err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return buffer.Bytes(), nil
}

// IsOperatorCommand reports whether a log entry holds a command of an operator or can't be
// decoded.
func IsOperatorCommand(data []byte) bool {
	var command Command
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command)
	return err != nil || command.Configuration != nil || command.Evacuation != nil
}

// Outcome is the outcome of a command.
type Outcome uint8

// Outcomes.
const (
	// Accepted means that the change has been applied.
	Accepted Outcome = iota + 1
	// Repeated means that the change had already been applied.
	Repeated
	// Conflict means that the change is based on a version other than the current one.
	Conflict
	// Invalid means that the change was rejected for the reasons in Findings.
	Invalid
)

// outcomeNames are the names used in logs and metrics.
var outcomeNames = map[Outcome]string{Accepted: "accepted", Repeated: "repeated", Conflict: "conflict", Invalid: "invalid"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a command.
type Result struct {
	Outcome  Outcome
	Current  routeconfig.Version
	Findings routeconfig.Findings
}

// Applied reports whether the change is in the state, as a result of this command or an
// earlier one.
func (r Result) Applied() bool { return r.Outcome == Accepted || r.Outcome == Repeated }

// State is the state of a fleet. It is not safe for concurrent use. The values that its
// methods return are immutable.
type State struct {
	document *routeconfig.Document
	// accepted maps the digest of every accepted change to the version that it created.
	accepted map[Digest]routeconfig.Version
	owners   map[string]*keyspace.Map
	// ownersIndex is the log index of the last change of an owner.
	ownersIndex uint64
	evacuations evacuations
	quarantine  quarantine.Set
	departures  departure.Set
	silence     seats.Record
}

// New returns an empty state.
func New() *State {
	return &State{
		accepted:    map[Digest]routeconfig.Version{},
		owners:      map[string]*keyspace.Map{},
		evacuations: evacuations{Since: map[string]uint64{}},
	}
}

// Document returns the current configuration; nil if there has been none.
func (s *State) Document() *routeconfig.Document { return s.document }

// Version returns the version of the current configuration; zero if there has been none.
func (s *State) Version() routeconfig.Version {
	if s.document == nil {
		return 0
	}
	return s.document.Version
}

// Owners returns the owners of a service's keys.
func (s *State) Owners(service string) *keyspace.Map {
	if owners, ok := s.owners[service]; ok {
		return owners
	}
	return &keyspace.Map{}
}

// OwnersIndex returns the log index of the last change of an owner.
func (s *State) OwnersIndex() uint64 { return s.ownersIndex }

// Silence returns the controllers that were not heard by their leaders, and for how long.
func (s *State) Silence() seats.Record { return s.silence }

// AllOwners returns the owners of keys by service, for every service that has any.
func (s *State) AllOwners() map[string]*keyspace.Map {
	all := make(map[string]*keyspace.Map, len(s.owners))
	for service, owners := range s.owners {
		all[service] = owners
	}
	return all
}

// Apply applies the command in the data of a log entry.
func (s *State) Apply(index uint64, data []byte) Result {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Result{Outcome: Invalid, Current: s.Version(), Findings: routeconfig.Findings{{Field: "command", Reason: err.Error()}}}
	}
	switch {
	case command.Configuration != nil:
		return s.changeConfiguration(command.Configuration)
	case command.Ownership != nil:
		return s.changeOwnership(index, command.Ownership)
	case command.Evacuation != nil:
		return s.changeEvacuation(index, command.Evacuation)
	case command.Quarantine != nil:
		return s.changeQuarantine(index, command.Quarantine)
	case command.Departures != nil:
		return s.recordDepartures(index, command.Departures)
	case command.Silence != nil:
		s.silence = command.Silence.Members
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}

// Check returns the result that Apply would return for a change now, without applying it.
func (s *State) Check(change *ChangeConfiguration) Result {
	_, result := s.evaluate(change)
	return result
}

func (s *State) changeConfiguration(change *ChangeConfiguration) Result {
	next, result := s.evaluate(change)
	if result.Outcome == Accepted {
		s.document = next
		s.accepted[change.Digest] = next.Version
	}
	return result
}

func (s *State) evaluate(change *ChangeConfiguration) (*routeconfig.Document, Result) {
	if version, ok := s.accepted[change.Digest]; ok {
		return nil, Result{Outcome: Repeated, Current: version}
	}
	if change.Base != s.Version() {
		return nil, Result{Outcome: Conflict, Current: s.Version()}
	}
	next := change.Document
	if change.Patch != nil {
		base := s.document
		if base == nil {
			base = &routeconfig.Document{}
		}
		next = change.Patch.Apply(base)
	}
	if next == nil {
		return nil, Result{Outcome: Invalid, Current: s.Version(), Findings: routeconfig.Findings{{Field: "command", Reason: "neither a document nor a patch"}}}
	}
	if findings := next.Validate(s.Version()); len(findings) > 0 {
		return nil, Result{Outcome: Invalid, Current: s.Version(), Findings: findings}
	}
	return next, Result{Outcome: Accepted, Current: next.Version}
}

func (s *State) changeOwnership(index uint64, batch *ChangeOwnership) Result {
	for _, change := range batch.Changes {
		if !change.Keys.Valid() {
			continue
		}
		owners := &keyspace.Map{Assignments: s.Owners(change.Service).Assignments}
		assignment := keyspace.Assignment{
			Range: change.Keys, Owner: change.To, Node: change.Node, Boot: change.Boot, Fence: keyspace.Fence(index), Handover: change.Handover,
		}
		if owners.Assign(change.From, assignment) {
			s.owners[change.Service] = owners
			s.ownersIndex = index
		}
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}

// image is the content of a snapshot.
type image struct {
	Document    *routeconfig.Document
	Accepted    map[Digest]routeconfig.Version
	Owners      map[string]*keyspace.Map
	OwnersIndex uint64
	Evacuations evacuations
	Quarantine  quarantine.Set
	Departures  []departure.Record
	Silence     seats.Record
}

// check rejects content that no sequence of log entries produces: owners that leave gaps or
// overlap, or a fence above the index of the last change.
func (i *image) check() error {
	for service, owners := range i.Owners {
		if !owners.Covers() {
			return fmt.Errorf("owners of %.64q do not cover every key exactly once", service)
		}
		for _, assignment := range owners.All() {
			if uint64(assignment.Fence) > i.OwnersIndex {
				return fmt.Errorf("owners of %.64q: fence %d is above the log index %d of the last change", service, assignment.Fence, i.OwnersIndex)
			}
		}
	}
	return i.Quarantine.Check()
}

// Encode returns a snapshot of the state.
func (s *State) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	snapshot := image{s.document, s.accepted, s.owners, s.ownersIndex, s.evacuations, s.quarantine, s.departures.Records(), s.silence}
	if err := gob.NewEncoder(&buffer).Encode(snapshot); err != nil {
		return nil, fmt.Errorf("encode fleet state: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode replaces the state with that of a snapshot. If it returns an error, the state is
// unchanged.
func (s *State) Decode(data []byte) error {
	var snapshot image
	if err := gobcheck.CheckLengths(data); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	source := bytes.NewReader(data)
	if err := gob.NewDecoder(source).Decode(&snapshot); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	if source.Len() > 0 {
		return fmt.Errorf("decode fleet state: %d bytes of trailing data", source.Len())
	}
	if err := snapshot.check(); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	departures, err := departure.NewSet(snapshot.Departures)
	if err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	fresh := New()
	fresh.departures = departures
	fresh.document, fresh.ownersIndex = snapshot.Document, snapshot.OwnersIndex
	if snapshot.Accepted != nil {
		fresh.accepted = snapshot.Accepted
	}
	if snapshot.Owners != nil {
		fresh.owners = snapshot.Owners
	}
	fresh.evacuations.Index = snapshot.Evacuations.Index
	if snapshot.Evacuations.Since != nil {
		fresh.evacuations.Since = snapshot.Evacuations.Since
	}
	fresh.quarantine, fresh.silence = snapshot.Quarantine, snapshot.Silence
	*s = *fresh
	return nil
}
