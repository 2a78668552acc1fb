package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
)

// Which of the lives of a back end is the present one.

const (
	// firstBeats are the heartbeats by which a new life is known at once where the present
	// one leaves or can't be reached.
	firstBeats = 2
	// beatsMissed is after how many intervals without a word of the present life any
	// heartbeat of another one is believed.
	beatsMissed = 1.5
	// beatsAlone is for how many intervals another life must be heard alone: the present
	// one, if it lived, would have been heard.
	beatsAlone = 0.9
)

// rival is a life that was heard beside the present one.
type rival struct {
	id string
	// sequence and at are of the first of its heartbeats since the present one was heard.
	sequence uint64
	at       time.Time
	// waits says that it is to be tried again (registry.retry); told and drainWithin are
	// its newest heartbeat.
	waits       bool
	told        Registration
	drainWithin time.Duration
}

// follows says that a heartbeat of a life that is not the present one is that of the next
// one, and none that an earlier life has sent, which comes late: a gateway that has
// restarted does not remember the earlier ones. Taken for the next life, a late one would
// end the present one for good. It is the next one's where the present one has fallen
// silent, where it is one of the first of a life and the present one leaves or can't be
// reached, or where the life goes on being heard and the present one is not. No clock of a
// back end is asked.
func (r *registry) follows(told Registration, now time.Time) bool {
	intervals := func(count float64) time.Duration { return time.Duration(count * float64(r.interval)) }
	lost := r.current.State == fleetwire.InstanceGone
	leaves := r.current.State == fleetwire.InstanceDraining && incarnation.IDOf(told.ID) != incarnation.IDOf(r.current.ID)
	if now.Sub(r.heardAt) >= intervals(beatsMissed) || told.Sequence <= firstBeats && (lost || leaves) {
		return true
	}
	if r.rival.id != told.ID || !r.heardAt.Before(r.rival.at) {
		r.rival = rival{id: told.ID, sequence: told.Sequence, at: now}
		return false
	}
	return told.Sequence > r.rival.sequence && now.Sub(r.rival.at) >= intervals(beatsAlone)
}

// believe reports whether a heartbeat is taken as that of the present life, or of the
// next one. Former is the life whose place it takes, where there is one. A wrong guess costs
// time alone: keys of the life before are free only once their own time is over.
func (r *registry) believe(told Registration, drainWithin time.Duration, now time.Time) (former string, believed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.ended[told.ID]:
		return "", false
	case told.ID == r.current.ID:
		if told.Sequence <= r.current.Sequence {
			return "", false
		}
		r.rival = rival{}
		return "", true
	case r.current.ID == "" && told.Sequence > firstBeats && !r.leaderAnswered():
		// It may be a late one, or another writer's: the leader would give the keys of the
		// life that it knows away.
		r.rival = rival{id: told.ID, waits: true, told: told, drainWithin: drainWithin}
		return "", false
	case r.current.ID == "":
		return "", true
	case !r.follows(told, now):
		return "", false
	}
	r.rival.waits, r.rival.told, r.rival.drainWithin = true, told, drainWithin
	return r.current.ID, true
}

// waits reports whether a life waits to take the present one's place.
func (r *registry) waits() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rival.waits
}

// retry takes a heartbeat that had to wait: for the time of what its predecessor was granted,
// or for the leader to tell the life that it knew.
func (r *registry) retry(now time.Time) {
	r.mutex.Lock()
	waiting := r.rival
	r.mutex.Unlock()
	if waiting.waits {
		r.heartbeat(waiting.told, waiting.drainWithin, now)
	}
}
