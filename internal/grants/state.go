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
	// retryAfter is the least time between two messages after a failure.
	retryAfter = 25 * time.Millisecond
	// failuresToLose messages in a row must fail before the back end counts as
	// lost.
	failuresToLose = 2
	// earlierGrantsEnd is how long after the start of this process the grants of
	// an earlier one have ended: the longest lease that settings allow, one
	// minute, with the bound of drift.
	earlierGrantsEnd = 62 * time.Second
)

// State is what the back end was granted. It is not safe for concurrent use.
type State struct {
	clock backendapi.Clock
	// started is when this process started.
	started time.Duration
	// sequence of the last message. The first message of this process replaces
	// whatever an earlier process granted.
	sequence uint64
	replaced bool
	// taken is what the back end confirmed.
	taken map[topology.ShardID]taken
	// possible is what the back end may hold: all that was sent, until its
	// revocation is confirmed.
	possible map[topology.ShardID]topology.Epoch
	// refused epochs: the back end has seen a higher one.
	refused map[topology.ShardID]topology.Epoch
	// confirmedUntil is the end of the grants in the last message that was
	// answered; possibleUntil also counts messages that were not, which the back
	// end may still take.
	confirmedUntil time.Duration
	possibleUntil  time.Duration
	// sending: a message is on its way.
	sending bool
	// failures in a row, and when the last message failed.
	failures int
	failedAt time.Duration
}

// taken is a grant that the back end confirmed.
type taken struct {
	// epoch is what the back end was told, owner the epoch of the ownership that
	// the grant serves. They differ after a split, a merge or a cancelled move.
	epoch, owner topology.Epoch
	// interrupted: the shard was not owned for a time, and the next grant needs
	// the epoch of the new ownership.
	interrupted bool
}

// New returns the state of an agent that starts at now. Drift bounds how much
// faster the back end's clock may run, as a share.
func New(drift float64, now time.Duration) *State {
	return &State{
		clock:    backendapi.Clock{Drift: drift},
		started:  now,
		taken:    make(map[topology.ShardID]taken),
		possible: make(map[topology.ShardID]topology.Epoch),
		refused:  make(map[topology.ShardID]topology.Epoch),
	}
}

// Replaced says that a message of this process has replaced whatever an earlier
// one granted.
func (s *State) Replaced() bool { return s.replaced }

// MayHold says that the back end may hold a grant of the shard. Until a message
// of this process has replaced them, it may hold those of an earlier one.
func (s *State) MayHold(shard topology.ShardID) bool {
	_, possible := s.possible[shard]
	return possible || !s.replaced
}

// PossibleUntil is when the back end can't act on any grant of this process any
// more, unless another message is sent.
func (s *State) PossibleUntil() time.Duration { return s.possibleUntil }

// AllEndBy is PossibleUntil with the grants of earlier processes.
func (s *State) AllEndBy() time.Duration {
	if s.replaced {
		return s.possibleUntil
	}
	return max(s.possibleUntil, s.started+earlierGrantsEnd)
}

// Lost says that the back end has not answered until its grants ended.
func (s *State) Lost(now time.Duration) bool {
	return s.failures >= failuresToLose && now >= s.confirmedUntil
}

// Closing says how an owned shard is given up.
type Closing struct {
	Epoch topology.Epoch
	// KeepGrant: requests that run still need the grant.
	KeepGrant bool
}

// Wanted is what the back end should hold.
type Wanted struct {
	Backend topology.BackendID
	// Owned is what the routing data give to this back end.
	Owned map[topology.ShardID]topology.Shard
	// Closing tells of owned shards that are being released.
	Closing func(topology.ShardID) (Closing, bool)
	// Lingers tells of shards that are not owned under their number any more
	// while requests admitted before still run. If it is set, a shard whose epoch
	// rises while its owner stays keeps the grant at the epoch that the back end
	// knows, so that its fence lets running requests finish; nil grants each
	// epoch anew.
	Lingers func(topology.ShardID) bool
	// LeaseUntil is the end of the agent's lease; zero is none.
	LeaseUntil time.Duration
	// Repeat sends a message also where nothing has changed.
	Repeat bool
}

// Message is a message on its way.
type Message struct {
	Grants backendapi.Grants
	// until is the end that it states.
	until time.Duration
	// possibleBefore is what possibleUntil was before it.
	possibleBefore time.Duration
	granted        []topology.Shard
	revoked        []topology.ShardID
	// epochs are what the back end is told for granted.
	epochs []topology.Epoch
}

// Next returns the next message, which must be sent once and then answered by
// Answered. It returns nil while one is on its way, right after a failure, and
// where the back end has all that it should have.
func (s *State) Next(wanted Wanted, now time.Duration) *Message {
	s.noteInterrupted(wanted)
	resting := s.failures > 0 && now-s.failedAt < retryAfter
	if s.sending || resting {
		return nil
	}
	next := s.compose(wanted, now)
	if next == nil {
		return nil
	}
	s.sending = true
	s.sequence++
	next.Grants.Sequence = s.sequence
	next.possibleBefore = s.possibleUntil
	s.possibleUntil = max(s.possibleUntil, next.until)
	for index, shard := range next.granted {
		s.possible[shard.ID] = next.epochs[index]
	}
	return next
}

// noteInterrupted must see every change of what is owned.
func (s *State) noteInterrupted(wanted Wanted) {
	for id, held := range s.taken {
		if _, owned := wanted.Owned[id]; !owned && !wanted.lingers(id) {
			held.interrupted = true
			s.taken[id] = held
		}
	}
}

func (wanted *Wanted) lingers(id topology.ShardID) bool {
	return wanted.Lingers != nil && wanted.Lingers(id)
}

// EndContinued has grants that continue from an earlier epoch replaced by ones
// of the present epoch, where the caller says so, so that nothing that was sent
// to the back end under them can act any more.
func (s *State) EndContinued(ends func(shard topology.ShardID, epoch topology.Epoch) bool) {
	for id, held := range s.taken {
		if held.epoch != held.owner && ends(id, held.epoch) {
			held.interrupted = true
			s.taken[id] = held
		}
	}
}

// Ending says that the back end may still hold a grant that EndContinued ends.
func (s *State) Ending() bool {
	for _, held := range s.taken {
		if held.interrupted && held.epoch != held.owner {
			return true
		}
	}
	return false
}

// Epoch is the epoch at which the back end knows a shard; zero is not at all.
func (s *State) Epoch(shard topology.ShardID) topology.Epoch { return s.taken[shard].epoch }

// epochFor is the epoch to tell the back end for an owned shard.
func (s *State) epochFor(shard topology.Shard, wanted Wanted) topology.Epoch {
	held, granted := s.taken[shard.ID]
	if granted && !held.interrupted && wanted.Lingers != nil {
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
	news := len(next.granted) > 0 || len(next.revoked) > 0 || next.until != s.confirmedUntil
	if !news && s.replaced && !wanted.Repeat {
		return nil
	}
	return next
}

// until is the end that the next message states: the lease's, and zero without
// one. While an earlier message has no answer its end is repeated, so that a
// back end which is frozen is granted nothing further.
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
		held, granted := s.taken[id]
		serves := granted && !held.interrupted && held.owner == shard.Epoch
		if serves || s.refused[id] >= shard.Epoch {
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
		if !keeps(wanted, id) {
			next.revoked = append(next.revoked, id)
		}
	}
	slices.SortFunc(next.revoked, compareShards)
	for _, id := range next.revoked {
		next.Grants.Revoked = append(next.Grants.Revoked, id.String())
	}
}

// keeps says that a granted shard is still to be served or finished here.
func keeps(wanted Wanted, id topology.ShardID) bool {
	if _, owned := wanted.Owned[id]; !owned {
		return wanted.lingers(id)
	}
	closing, releasing := wanted.Closing(id)
	return !releasing || closing.KeepGrant
}

func compareShards(a, b topology.ShardID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
}

// Outcome is what became of a message.
type Outcome struct {
	// Granted shards may be served now.
	Granted []topology.Shard
	// Taken: the back end took the message.
	Taken bool
	// Restarted: the back end has neither grants nor warm shards any more.
	Restarted bool
	// Refused names a shard of which the back end has seen a higher epoch.
	Refused *backendapi.LowerEpochError
	// Failed: no answer came, and the message may still be taken.
	Failed bool
	// FirstFailure in a row.
	FirstFailure bool
}

// Answered takes the end of a message: a reading that was received at a time,
// or why there is none, as backendapi.Client.Grant returns them.
func (s *State) Answered(sent *Message, reading backendapi.Reading, received time.Duration, err error) Outcome {
	s.sending = false
	var lower *backendapi.LowerEpochError
	switch {
	case err == nil:
		return s.answered(sent, reading, received)
	case errors.Is(err, backendapi.ErrOtherBoot):
		return s.restarted(reading, received)
	case errors.Is(err, backendapi.ErrOvertaken):
		s.possibleUntil = sent.possibleBefore
		s.sequence = max(s.sequence, reading.Sequence)
		return Outcome{}
	case errors.As(err, &lower):
		return s.epochRefused(sent, lower)
	}
	return s.failed(sent, received, err)
}

func (s *State) answered(sent *Message, reading backendapi.Reading, received time.Duration) Outcome {
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
		s.taken[shard.ID] = taken{epoch: sent.epochs[index], owner: shard.Epoch}
	}
	for _, id := range sent.revoked {
		delete(s.taken, id)
		delete(s.possible, id)
	}
	return Outcome{Granted: sent.granted, Taken: true}
}

// restarted: the back end has no grants.
func (s *State) restarted(reading backendapi.Reading, received time.Duration) Outcome {
	s.failures = 0
	s.clock.Observe(reading, received)
	s.sequence = max(s.sequence, reading.Sequence)
	clear(s.taken)
	clear(s.possible)
	clear(s.refused)
	s.possibleUntil = 0
	s.confirmedUntil = 0
	return Outcome{Restarted: true}
}

// epochRefused: another agent's grant of a higher epoch reached this back end,
// or the routing data here are old. The shard is not served at this epoch.
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
