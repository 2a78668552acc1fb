package agent

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

const (
	// grantTimeout bounds one message of grants.
	grantTimeout = 250 * time.Millisecond
	// grantRetry is the least time between two messages after a failure.
	grantRetry = 25 * time.Millisecond
	// failuresToLose messages in a row must fail before the back end counts as
	// lost.
	failuresToLose = 2
)

// grantState is what the back end was granted. It belongs to the control
// goroutine.
type grantState struct {
	clock backendapi.Clock
	// sequence of the last message. The first message of this process replaces
	// whatever an earlier process granted.
	sequence uint64
	replaced bool
	// taken is what the back end confirmed. Offered has also what was sent
	// without an answer, which the back end may have taken or may take yet.
	taken   map[topology.ShardID]topology.Epoch
	offered map[topology.ShardID]topology.Epoch
	// refused epochs: the back end has seen a higher one.
	refused map[topology.ShardID]topology.Epoch
	// confirmedUntil is the end of the grants in the last message that was
	// answered; possibleUntil also counts messages that were not, which the back
	// end may still take. Both by this process's monotonic clock. Until the
	// back end has replaced the grants of the process before, possibleUntil is
	// unknownEnd.
	confirmedUntil time.Duration
	possibleUntil  time.Duration
	// sending: a message is on its way.
	sending bool
	// failures in a row, and when the last message failed.
	failures int
	failedAt time.Duration
}

// unknownEnd is the end of grants that an earlier process gave.
const unknownEnd = time.Duration(math.MaxInt64)

func newGrantState(drift float64) grantState {
	return grantState{
		possibleUntil: unknownEnd,

		clock:   backendapi.Clock{Drift: drift},
		taken:   make(map[topology.ShardID]topology.Epoch),
		offered: make(map[topology.ShardID]topology.Epoch),
		refused: make(map[topology.ShardID]topology.Epoch),
	}
}

// lost says that the back end has not answered until its grants ended.
func (state *grantState) lost(now time.Duration) bool {
	return state.failures >= failuresToLose && now >= state.confirmedUntil
}

// grantMessage is a message on its way.
type grantMessage struct {
	message backendapi.Grants
	// until is the end of the grants; granted and revoked repeat the message.
	until time.Duration
	// possibleBefore is what possibleUntil was before this message.
	possibleBefore time.Duration
	granted        []topology.Shard
	revoked        []topology.ShardID
}

// syncGrants sends the back end what has changed and the end of the lease, one
// message at a time.
func (control *controlLoop) syncGrants() {
	now := control.now()
	state := &control.grants
	resting := state.failures > 0 && now-state.failedAt < grantRetry
	if state.sending || resting {
		return
	}
	next := control.nextMessage(now)
	if next == nil {
		return
	}
	state.sending = true
	state.sequence++
	next.message.Sequence = state.sequence
	for _, shard := range next.granted {
		state.offered[shard.ID] = shard.Epoch
	}
	next.possibleBefore = state.possibleUntil
	state.possibleUntil = max(state.possibleUntil, next.until)
	control.grantsPossibleUntil.Store(int64(state.possibleUntil))
	control.background.Go(func() { control.sendGrants(next) })
}

// nextMessage returns nil where the back end has all that it should have.
func (control *controlLoop) nextMessage(now time.Duration) *grantMessage {
	state := &control.grants
	next := &grantMessage{message: backendapi.Grants{Backend: control.self}}
	if !state.clock.Known() {
		return next
	}
	next.message.Boot = state.clock.Boot()
	next.message.Replace = !state.replaced
	next.until = control.grantsUntil(now)
	next.message.ValidUntilMilliseconds = state.clock.Convert(next.until)
	control.addGrants(next, now)
	control.addRevocations(next)
	news := len(next.granted) > 0 || len(next.revoked) > 0 || next.until != state.confirmedUntil
	if !news && state.replaced && control.state != stateUnreachable {
		return nil
	}
	return next
}

// grantsUntil is the end that the next message states: the lease's, and zero
// without one. While an earlier message has no answer its end is repeated, so
// that a back end which is frozen is granted nothing further.
func (control *controlLoop) grantsUntil(now time.Duration) time.Duration {
	until := control.holder.ValidUntil()
	if until <= now {
		return 0
	}
	if control.grants.failures > 0 && control.grants.possibleUntil > now {
		return min(until, control.grants.possibleUntil)
	}
	return until
}

func (control *controlLoop) addGrants(next *grantMessage, now time.Duration) {
	if !control.holder.Valid(now) {
		return
	}
	for id, shard := range control.owned {
		if control.grants.taken[id] == shard.Epoch || control.grants.refused[id] >= shard.Epoch {
			continue
		}
		if releasing := control.releases[id]; releasing != nil && releasing.epoch == shard.Epoch {
			continue
		}
		next.granted = append(next.granted, shard)
		next.message.Grants = append(next.message.Grants, backendapi.Grant{Shard: id.String(), Epoch: shard.Epoch})
	}
}

func (control *controlLoop) addRevocations(next *grantMessage) {
	for id := range control.grants.offered {
		if control.keepsGrant(id) {
			continue
		}
		next.revoked = append(next.revoked, id)
		next.message.Revoked = append(next.message.Revoked, id.String())
	}
}

// keepsGrant says that a granted shard is still to be served or finished here.
func (control *controlLoop) keepsGrant(id topology.ShardID) bool {
	if _, owned := control.owned[id]; !owned {
		return false
	}
	releasing := control.releases[id]
	return releasing == nil || releasing.stage == stageDraining
}

func (control *controlLoop) sendGrants(sent *grantMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	reading, err := control.backend.Grant(ctx, sent.message)
	received := control.now()
	control.post(func(control *controlLoop) { control.grantsAnswered(sent, reading, received, err) })
}

func (control *controlLoop) grantsAnswered(sent *grantMessage, reading backendapi.Reading, received time.Duration, err error) {
	state := &control.grants
	state.sending = false
	var lower *backendapi.LowerEpochError
	switch {
	case err == nil:
		control.grantsTaken(sent, reading, received)
	case errors.Is(err, backendapi.ErrOtherBoot):
		control.backendRestarted(reading, received)
	case errors.Is(err, backendapi.ErrOvertaken):
		state.possibleUntil = sent.possibleBefore
		state.sequence = max(state.sequence, reading.Sequence)
	case errors.As(err, &lower):
		control.epochRefused(sent, lower)
	default:
		control.grantsFailed(sent, err)
	}
	control.signalRelease(control.now())
	control.syncGrants()
}

// signalRelease renews at once, with Release set, when a lease was given up
// and the back end can't act on its grants any more.
func (control *controlLoop) signalRelease(now time.Duration) {
	control.grantsPossibleUntil.Store(int64(control.grants.possibleUntil))
	if control.wantLease.Load() || control.releaseSignalled || now < control.grants.possibleUntil {
		return
	}
	control.releaseSignalled = true
	control.subscription.RenewNow()
}

func (control *controlLoop) grantsTaken(sent *grantMessage, reading backendapi.Reading, received time.Duration) {
	state := &control.grants
	state.failures = 0
	restarted := state.clock.Known() && state.clock.Boot() != reading.Boot
	if restarted {
		control.backendRestarted(reading, received)
		return
	}
	state.clock.Observe(reading, received)
	state.sequence = max(state.sequence, reading.Sequence)
	state.replaced = state.replaced || sent.message.Replace
	state.confirmedUntil = sent.until
	if state.replaced {
		state.possibleUntil = sent.until
	}
	for _, shard := range sent.granted {
		state.taken[shard.ID] = shard.Epoch
	}
	for _, id := range sent.revoked {
		delete(state.taken, id)
		delete(state.offered, id)
	}
	control.begin(sent.granted)
	if control.state == stateUnreachable {
		control.fire(eventAnswered)
	}
}

// backendRestarted: the back end has no grants and no warm shards.
func (control *controlLoop) backendRestarted(reading backendapi.Reading, received time.Duration) {
	state := &control.grants
	state.failures = 0
	state.clock.Observe(reading, received)
	state.sequence = max(state.sequence, reading.Sequence)
	state.taken = make(map[topology.ShardID]topology.Epoch)
	state.offered = make(map[topology.ShardID]topology.Epoch)
	state.refused = make(map[topology.ShardID]topology.Epoch)
	state.possibleUntil = 0
	state.confirmedUntil = 0
	control.config.Log.Info("back end started", slog.String("boot", reading.Boot))
}

// epochRefused: another agent's grant of a higher epoch reached this back end,
// or the routing data here are old. The shard is not served at this epoch.
func (control *controlLoop) epochRefused(sent *grantMessage, lower *backendapi.LowerEpochError) {
	control.grants.possibleUntil = sent.possibleBefore
	for _, shard := range sent.granted {
		if shard.ID.String() == lower.Shard {
			control.grants.refused[shard.ID] = shard.Epoch
		}
	}
	control.config.Log.Warn("back end refused an epoch", slog.Any("error", lower))
}

func (control *controlLoop) grantsFailed(sent *grantMessage, err error) {
	state := &control.grants
	if state.failures == 0 {
		control.config.Log.Info("grants not answered", slog.Any("error", err))
	}
	state.failedAt = control.now()
	state.failures++
	control.counts.grantFailures.Add(1)
	if errors.Is(err, upstream.ErrNotSent) {
		state.possibleUntil = sent.possibleBefore
	}
}
