// Package fleetstate is the replicated state of a fleet of gateways: the
// configuration document and the owners of keys. It is a deterministic state
// machine, driven by the commands of a replicated log.
//
// # Changes of the configuration
//
// Each carries a digest of its content and the version that it builds on.
// Apply checks in this order:
//
//  1. A change that was accepted before gets the first answer again, however
//     late it is sent again.
//  2. The version it builds on must be the current one, so that of changes
//     made on the same version exactly one is accepted.
//  3. The whole resulting document is validated; every finding is reported.
//
// # Ownership
//
// The fence of an owner is the index of the log entry that made it the owner,
// and so is above all earlier ones.
package fleetstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// Digest identifies the content of a change.
type Digest [sha256.Size]byte

// ChangeConfiguration replaces the document, or patches it.
type ChangeConfiguration struct {
	Digest Digest
	// Base is the version that the change builds on.
	Base routeconfig.Version
	// One of the two is set.
	Document *routeconfig.Document
	Patch    *routeconfig.Patch
}

// OwnershipChange moves a range of keys to another owner.
type OwnershipChange struct {
	Service  string
	Keys     keyspace.Range
	From, To string
	// Node is the gateway beside To, and Boot its process.
	Node     string
	Boot     uint64
	Handover string
}

// ChangeOwnership is a batch of changes. One that does not fit the state is
// skipped.
type ChangeOwnership struct{ Changes []OwnershipChange }

// Command is one entry of the log; one of the pointers is set.
type Command struct {
	Configuration *ChangeConfiguration
	Ownership     *ChangeOwnership
	Evacuation    *ChangeEvacuation
	Quarantine    *quarantine.Change
}

// Encode returns the log entry of a command.
func (c *Command) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(c); err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return buffer.Bytes(), nil
}

// IsOperators reports whether a log entry holds what an operator ordered, or can't be read.
func IsOperators(data []byte) bool {
	var command Command
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command)
	return err != nil || command.Configuration != nil || command.Evacuation != nil
}

// Outcome of a change of the configuration.
type Outcome uint8

// Outcomes.
const (
	// Accepted: the change is in the state.
	Accepted Outcome = iota + 1
	// Repeated: the change had been accepted before.
	Repeated
	// Conflict: the change builds on a version that is not the current one.
	Conflict
	// Invalid: the findings say why.
	Invalid
)

// outcomeNames are the words of logs and metrics.
var outcomeNames = map[Outcome]string{Accepted: "accepted", Repeated: "repeated", Conflict: "conflict", Invalid: "invalid"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Result of a command.
type Result struct {
	Outcome  Outcome
	Current  routeconfig.Version
	Findings routeconfig.Findings
}

// InState says that the change is in the state, since now or before.
func (r Result) InState() bool { return r.Outcome == Accepted || r.Outcome == Repeated }

// State of a fleet. It is not safe for concurrent use. What its methods return
// must not be changed and does not change later.
type State struct {
	document *routeconfig.Document
	// accepted has every accepted change with the version that it made.
	accepted map[Digest]routeconfig.Version
	owners   map[string]*keyspace.Map
	// ownersIndex is the log index of the last change of an owner.
	ownersIndex uint64
	evacuations evacuations
	quarantine  quarantine.Set
}

// New returns an empty state.
func New() *State {
	return &State{
		accepted:    map[Digest]routeconfig.Version{},
		owners:      map[string]*keyspace.Map{},
		evacuations: evacuations{Since: map[string]uint64{}},
	}
}

// Document returns the current configuration; nil before the first.
func (s *State) Document() *routeconfig.Document { return s.document }

// Version returns that of the current configuration; zero before the first.
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

// OwnersIndex is the log index of the last change of an owner.
func (s *State) OwnersIndex() uint64 { return s.ownersIndex }

// AllOwners returns the owners of the keys of every service that has any.
func (s *State) AllOwners() map[string]*keyspace.Map {
	all := make(map[string]*keyspace.Map, len(s.owners))
	for service, owners := range s.owners {
		all[service] = owners
	}
	return all
}

// Apply runs the command of a log entry.
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
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}

// Check returns what Apply would answer to a change now.
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
		given := keyspace.Assignment{
			Range: change.Keys, Owner: change.To, Node: change.Node, Boot: change.Boot, Fence: keyspace.Fence(index), Handover: change.Handover,
		}
		if owners.Assign(change.From, given) {
			s.owners[change.Service] = owners
			s.ownersIndex = index
		}
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}

// image is what a snapshot holds.
type image struct {
	Document    *routeconfig.Document
	Accepted    map[Digest]routeconfig.Version
	Owners      map[string]*keyspace.Map
	OwnersIndex uint64
	Evacuations evacuations
	Quarantine  quarantine.Set
}

// check refuses what no log makes: owners with a gap, or of a later fence.
func (i *image) check() error {
	for service, owners := range i.Owners {
		if !owners.Covers() {
			return fmt.Errorf("owners of %.64q do not cover the keys once", service)
		}
		for _, assignment := range owners.All() {
			if uint64(assignment.Fence) > i.OwnersIndex {
				return fmt.Errorf("owners of %.64q: fence %d above index %d", service, assignment.Fence, i.OwnersIndex)
			}
		}
	}
	return i.Quarantine.Check()
}

// Encode returns the whole state as bytes.
func (s *State) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	whole := image{s.document, s.accepted, s.owners, s.ownersIndex, s.evacuations, s.quarantine}
	if err := gob.NewEncoder(&buffer).Encode(whole); err != nil {
		return nil, fmt.Errorf("encode fleet state: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode replaces the state by an encoded one.
func (s *State) Decode(data []byte) error {
	var whole image
	if err := gobcheck.Whole(data); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	source := bytes.NewReader(data)
	if err := gob.NewDecoder(source).Decode(&whole); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	if source.Len() > 0 {
		return fmt.Errorf("decode fleet state: %d bytes behind it", source.Len())
	}
	if err := whole.check(); err != nil {
		return fmt.Errorf("decode fleet state: %w", err)
	}
	fresh := New()
	fresh.document, fresh.ownersIndex = whole.Document, whole.OwnersIndex
	if whole.Accepted != nil {
		fresh.accepted = whole.Accepted
	}
	if whole.Owners != nil {
		fresh.owners = whole.Owners
	}
	fresh.evacuations.Index = whole.Evacuations.Index
	if whole.Evacuations.Since != nil {
		fresh.evacuations.Since = whole.Evacuations.Since
	}
	fresh.quarantine = whole.Quarantine
	*s = *fresh
	return nil
}
