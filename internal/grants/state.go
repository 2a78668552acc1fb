package grants

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

const (
	// retryDelay is the shortest time between two messages after a failure.
	retryDelay = 25 * time.Millisecond
	// lostAfterFailures is how many messages in a row must fail before the back end
	// counts as lost.
	lostAfterFailures = 2
	// earlierGrantsLifetime is how long after the start of this process the grants of
	// an earlier one have expired: the longest lease that settings allow, one minute,
	// plus the bound of clock drift.
	earlierGrantsLifetime = 62 * time.Second
)

// State tracks what the back end was granted. It is not safe for concurrent use.
type State struct {
	clock backendapi.Clock
	// started is when this process started.
	started time.Duration
	// sequence of the last message. The first message of this process replaces
	// whatever an earlier process granted; replaced is set once that is confirmed.
	sequence uint64
	replaced bool
	// confirmed has the grants that the back end confirmed.
	confirmed map[topology.ShardID]confirmedGrant
	// possible has the grants that the back end may hold: all that were sent, until
	// their revocation is confirmed.
	possible map[topology.ShardID]topology.Epoch
	// refused has the epochs that the back end refused, as it has seen a higher one.
	refused map[topology.ShardID]topology.Epoch
	// confirmedUntil is the expiry stated in the last message that was answered; possibleUntil
	// also covers messages without a response, which the back end may still accept.
	confirmedUntil time.Duration
	possibleUntil  time.Duration
	// inFlight is set while a message has been sent and not been answered.
	inFlight bool
	// failures in a row, and when the last message failed.
	failures int
	failedAt time.Duration
}

// confirmedGrant is a grant that the back end confirmed.
type confirmedGrant struct {
	// epoch is the one that was sent to the back end, ownerEpoch that of the ownership
	// that the grant serves. They differ after a split, a merge or a cancelled move.
	epoch, ownerEpoch topology.Epoch
	// interrupted is set if the shard was not owned for a time, so that the next grant needs
	// the epoch of the new ownership.
	interrupted bool
}

// New returns the state of an agent that starts at now. drift bounds how much faster the back
// end's clock may run, as a fraction.
func New(drift float64, now time.Duration) *State {
	return &State{
		clock:     backendapi.Clock{Drift: drift},
		started:   now,
		confirmed: make(map[topology.ShardID]confirmedGrant),
		possible:  make(map[topology.ShardID]topology.Epoch),
		refused:   make(map[topology.ShardID]topology.Epoch),
	}
}

// Replaced reports whether a message of this process has replaced whatever an
// earlier process granted.
func (s *State) Replaced() bool { return s.replaced }

// MayHold reports whether the back end may hold a grant of the shard. Until a message
// of this process has replaced them, it may hold any grants of an earlier process.
func (s *State) MayHold(shard topology.ShardID) bool {
	_, possible := s.possible[shard]
	return possible || !s.replaced
}

// PossibleUntil returns from when on the back end can't act on any grant of this
// process, unless another message is sent.
func (s *State) PossibleUntil() time.Duration { return s.possibleUntil }

// AllExpiredBy is like PossibleUntil, but includes the grants of earlier processes.
func (s *State) AllExpiredBy() time.Duration {
	if s.replaced {
		return s.possibleUntil
	}
	return max(s.possibleUntil, s.started+earlierGrantsLifetime)
}

// Lost reports whether the back end has not responded until its grants expired.
func (s *State) Lost(now time.Duration) bool {
	return s.failures >= lostAfterFailures && now >= s.confirmedUntil
}

// Closing describes the release of an owned shard.
type Closing struct {
	Epoch topology.Epoch
	// KeepGrant is set if running requests still need the grant.
	KeepGrant bool
}

// Wanted describes what the back end should hold.
type Wanted struct {
	Backend topology.BackendID
	// Owned has the shards that the routing data assign to this back end.
	Owned map[topology.ShardID]topology.Shard
	// Closing returns how an owned shard is being released, and whether it is.
	Closing func(topology.ShardID) (Closing, bool)
	// Draining reports whether a shard is no longer owned under its number while
	// requests that were admitted before still run. If it is set, a shard whose epoch
	// rises without a change of owner keeps the grant at the epoch that the back end
	// knows, so that its fence lets running requests finish; if it is nil, each epoch
	// gets a new grant.
	Draining func(topology.ShardID) bool
	// LeaseUntil is the expiry of the agent's lease, zero without one.
	LeaseUntil time.Duration
	// Repeat sends a message even if nothing has changed.
	Repeat bool
}

// Message is a message to the back end.
type Message struct {
	Grants backendapi.Grants
	// until is the expiry that it states.
	until time.Duration
	// possibleBefore is the value of possibleUntil before it was sent.
	possibleBefore time.Duration
	granted        []topology.Shard
	revoked        []topology.ShardID
	// epochs are those sent to the back end for the shards in granted.
	epochs []topology.Epoch
}

// Next returns the next message. The caller must send it once and then call Answered.
// Next returns nil while a message is in flight, for retryDelay after a failure, and if
// the back end already has what it should have.
func (s *State) Next(wanted Wanted, now time.Duration) *Message {
	s.markInterrupted(wanted)
	backoff := s.failures > 0 && now-s.failedAt < retryDelay
	if s.inFlight || backoff {
		return nil
	}
	next := s.compose(wanted, now)
	if next == nil {
		return nil
	}
	s.inFlight = true
	s.sequence++
	next.Grants.Sequence = s.sequence
	next.possibleBefore = s.possibleUntil
	s.possibleUntil = max(s.possibleUntil, next.until)
	for index, shard := range next.granted {
		s.possible[shard.ID] = next.epochs[index]
	}
	return next
}

// markInterrupted marks grants whose shards are not owned. It must see every change of
// what is owned.
func (s *State) markInterrupted(wanted Wanted) {
	for id, held := range s.confirmed {
		if _, owned := wanted.Owned[id]; !owned && !wanted.draining(id) {
			held.interrupted = true
			s.confirmed[id] = held
		}
	}
}

func (wanted *Wanted) draining(id topology.ShardID) bool {
	return wanted.Draining != nil && wanted.Draining(id)
}

// RevokeContinued marks the grants that continue from an earlier epoch and for which ends
// returns true. They will be replaced by grants of the current epoch, so that nothing that
// was sent to the back end under them can take effect any more.
func (s *State) RevokeContinued(ends func(shard topology.ShardID, epoch topology.Epoch) bool) {
	for id, held := range s.confirmed {
		if held.epoch != held.ownerEpoch && ends(id, held.epoch) {
			held.interrupted = true
			s.confirmed[id] = held
		}
	}
}

// RevocationPending reports whether the back end may still hold a grant that RevokeContinued
// has marked.
func (s *State) RevocationPending() bool {
	for _, held := range s.confirmed {
		if held.interrupted && held.epoch != held.ownerEpoch {
			return true
		}
	}
	return false
}

// Epoch returns the epoch at which the back end has confirmed a shard, zero without one.
func (s *State) Epoch(shard topology.ShardID) topology.Epoch { return s.confirmed[shard].epoch }

// epochFor returns the epoch to send to the back end for an owned shard.
func (s *State) epochFor(shard topology.Shard, wanted Wanted) topology.Epoch {
	held, granted := s.confirmed[shard.ID]
	if granted && !held.interrupted && wanted.Draining != nil {
		return held.epoch
	}
	return shard.Epoch
}

func (s *State) compose(wanted Wanted, now time.Duration) *Message {
	next := &Message{Grants: backendapi.Grants{Backend: wanted.Backend}}
	if !s.clock.Known() {
		return next
	}
	next.Grants.Boot = s.clock.Boot()
	next.Grants.Replace = !s.replaced
	next.until = s.until(wanted.LeaseUntil, now)
	next.Grants.ValidUntilMilliseconds = s.clock.Convert(next.until)
	if now < wanted.LeaseUntil {
		s.addGrants(next, wanted)
	}
	s.addRevocations(next, wanted)
	changed := len(next.granted) > 0 || len(next.revoked) > 0 || next.until != s.confirmedUntil
	if !changed && s.replaced && !wanted.Repeat {
		return nil
	}
	return next
}

// until returns the expiry that the next message states: the expiry of the lease, or zero
// without one. While an earlier message has no response, its expiry is repeated, so that the
// grants of a hanging back end are not extended.
func (s *State) until(lease, now time.Duration) time.Duration {
	if lease <= now {
		return 0
	}
	if s.failures > 0 && s.possibleUntil > now {
		return min(lease, s.possibleUntil)
	}
	return lease
}

func (s *State) addGrants(next *Message, wanted Wanted) {
	for id, shard := range wanted.Owned {
		held, granted := s.confirmed[id]
		upToDate := granted && !held.interrupted && held.ownerEpoch == shard.Epoch
		if upToDate || s.refused[id] >= shard.Epoch {
			continue
		}
		if closing, releasing := wanted.Closing(id); releasing && closing.Epoch == shard.Epoch {
			continue
		}
		next.granted = append(next.granted, shard)
	}
	slices.SortFunc(next.granted, func(a, b topology.Shard) int { return compareShards(a.ID, b.ID) })
	for _, shard := range next.granted {
		epoch := s.epochFor(shard, wanted)
		next.epochs = append(next.epochs, epoch)
		next.Grants.Grants = append(next.Grants.Grants, backendapi.Grant{Shard: shard.ID.String(), Epoch: epoch})
	}
}

func (s *State) addRevocations(next *Message, wanted Wanted) {
	for id := range s.possible {
		if !shouldKeep(wanted, id) {
			next.revoked = append(next.revoked, id)
		}
	}
	slices.SortFunc(next.revoked, compareShards)
	for _, id := range next.revoked {
		next.Grants.Revoked = append(next.Grants.Revoked, id.String())
	}
}

// shouldKeep reports whether the back end still serves a granted shard or finishes its
// requests.
func shouldKeep(wanted Wanted, id topology.ShardID) bool {
	if _, owned := wanted.Owned[id]; !owned {
		return wanted.draining(id)
	}
	closing, releasing := wanted.Closing(id)
	return !releasing || closing.KeepGrant
}

func compareShards(a, b topology.ShardID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
}

// Outcome is the result of a message.
type Outcome struct {
	// Granted shards may be served now.
	Granted []topology.Shard
	// Accepted is set if the back end accepted the message.
	Accepted bool
	// Restarted is set if the back end has restarted and lost its grants and warm shards.
	Restarted bool
	// Refused names a shard of which the back end has seen a higher epoch.
	Refused *backendapi.LowerEpochError
	// Failed is set if no response arrived. The back end may still accept the message.
	Failed bool
	// FirstFailure is set if the failure is the first one in a row.
	FirstFailure bool
}

// Answered records the result of a message: the reading received, or the error, as
// backendapi.Client.Grant returns them.
func (s *State) Answered(sent *Message, reading backendapi.Reading, received time.Duration, err error) Outcome {
	s.inFlight = false
	var lower *backendapi.LowerEpochError
	switch {
	case err == nil:
		return s.applyResponse(sent, reading, received)
	case errors.Is(err, backendapi.ErrRestarted):
		return s.restarted(reading, received)
	case errors.Is(err, backendapi.ErrStaleMessage):
		s.possibleUntil = sent.possibleBefore
		s.sequence = max(s.sequence, reading.Sequence)
		return Outcome{}
	case errors.As(err, &lower):
		return s.epochRefused(sent, lower)
	}
	return s.failed(sent, received, err)
}

func (s *State) applyResponse(sent *Message, reading backendapi.Reading, received time.Duration) Outcome {
	s.failures = 0
	if s.clock.Known() && s.clock.Boot() != reading.Boot {
		return s.restarted(reading, received)
	}
	s.clock.Observe(reading, received)
	s.sequence = max(s.sequence, reading.Sequence)
	s.replaced = s.replaced || sent.Grants.Replace
	s.confirmedUntil = sent.until
	s.possibleUntil = sent.until
	for index, shard := range sent.granted {
		s.confirmed[shard.ID] = confirmedGrant{epoch: sent.epochs[index], ownerEpoch: shard.Epoch}
	}
	for _, id := range sent.revoked {
		delete(s.confirmed, id)
		delete(s.possible, id)
	}
	return Outcome{Granted: sent.granted, Accepted: true}
}

// restarted clears the state after a restart of the back end, which has no grants.
func (s *State) restarted(reading backendapi.Reading, received time.Duration) Outcome {
	s.failures = 0
	s.clock.Observe(reading, received)
	s.sequence = max(s.sequence, reading.Sequence)
	clear(s.confirmed)
	clear(s.possible)
	clear(s.refused)
	s.possibleUntil = 0
	s.confirmedUntil = 0
	return Outcome{Restarted: true}
}

// epochRefused records that the back end has refused an epoch: either another agent's
// grant of a higher epoch has reached it, or the routing data here are outdated. The
// shard is not served at this epoch.
func (s *State) epochRefused(sent *Message, lower *backendapi.LowerEpochError) Outcome {
	s.possibleUntil = sent.possibleBefore
	for _, shard := range sent.granted {
		if shard.ID.String() == lower.Shard {
			s.refused[shard.ID] = shard.Epoch
		}
	}
	return Outcome{Refused: lower}
}

func (s *State) failed(sent *Message, now time.Duration, err error) Outcome {
	outcome := Outcome{Failed: true, FirstFailure: s.failures == 0}
	s.failedAt = now
	s.failures++
	if errors.Is(err, upstream.ErrNotSent) {
		s.possibleUntil = sent.possibleBefore
	}
	return outcome
}
