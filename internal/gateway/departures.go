package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// recordWithin is how long an announcement waits for the controllers to record it. Back ends wait
// one second for the acknowledgement.
const recordWithin = 800 * time.Millisecond

// ErrNotRecorded means that the controllers have not recorded an announced departure yet, so that
// it must not be acknowledged. The back end gets no new requests all the same, and may announce its
// departure again.
var ErrNotRecorded = errors.New("departure not recorded yet")

// errSessionEnded means that this process stops and hears no controller any more.
var errSessionEnded = errors.New("the gateway has stopped")

// departureKeeper lets announced departures wait until the controllers have recorded them.
type departureKeeper struct {
	mutex         sync.Mutex
	announcements departure.Announcements
	// recorded has a channel for each pending announcement, closed once it is recorded.
	recorded map[string]chan struct{}
}

func newDepartureKeeper() *departureKeeper {
	return &departureKeeper{recorded: map[string]chan struct{}{}}
}

// announce notes an announcement and returns a channel that is closed once it is recorded. First
// is set unless the announcement was known before.
func (d *departureKeeper) announce(instance string) (recorded <-chan struct{}, first bool, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.announcements.Announce(instance); err != nil {
		return nil, false, err
	}
	if d.announcements.Recorded(instance) {
		closed := make(chan struct{})
		close(closed)
		return closed, false, nil
	}
	waiting, known := d.recorded[instance]
	if !known {
		waiting = make(chan struct{})
		d.recorded[instance] = waiting
	}
	return waiting, !known, nil
}

// pending returns the announcements that are to be recorded.
func (d *departureKeeper) pending() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.announcements.Pending()
}

// update applies the leader's list of the recorded departures at this gateway.
func (d *departureKeeper) update(instances []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, instance := range d.announcements.Update(instances) {
		close(d.recorded[instance])
		delete(d.recorded, instance)
	}
}

// takeDepartures applies the leader's list of the recorded departures at this gateway.
func (g *Gateway) takeDepartures(list *fleetwire.Departures) {
	g.registry.restoreDepartures(list.Instances, steady.Reading())
	g.departures.update(list.Instances)
}

// awaitRecorded returns nil once the controllers have recorded that an incarnation departs. Until
// then the announcement ends with this process, and must not be acknowledged.
func (g *Gateway) awaitRecorded(ctx context.Context, instance string) error {
	began := steady.Reading()
	recorded, first, err := g.departures.announce(instance)
	if err != nil {
		return g.notRecorded(instance, began, err)
	}
	if first {
		g.config.Log.Info("back end announces its departure", "instance", instance, "stopping", g.admission.Stopping(),
			"session_silence_ms", g.session.leaderSilence(began).Milliseconds(), "leader_responded", g.session.receivedResponse())
		g.session.requestReport()
	}
	ctx, cancel := context.WithTimeout(ctx, recordWithin)
	defer cancel()
	select {
	case <-recorded:
	case <-ctx.Done():
		return g.notRecorded(instance, began, ctx.Err())
	case <-g.sessionEnd.Done():
		return g.notRecorded(instance, began, errSessionEnded)
	}
	if first {
		g.metrics.departures.WithLabelValues(resultConfirmed).Inc()
		g.config.Log.Info("departure acknowledged", "instance", instance, "waited_ms", steady.Elapsed(began).Milliseconds())
	}
	return nil
}

// notRecorded logs and counts that a departure is not acknowledged, and returns the error that says so.
func (g *Gateway) notRecorded(instance string, began time.Time, cause error) error {
	g.metrics.departures.WithLabelValues(resultFailed).Inc()
	g.config.Log.Warn("departure not acknowledged", "instance", instance, "waited_ms", steady.Elapsed(began).Milliseconds(), "error", cause)
	return fmt.Errorf("%.64q: %w: %w", instance, ErrNotRecorded, cause)
}
