package platformstandin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// departures checks that instances get no request later than drainTime after a gateway has
// acknowledged that they depart, whatever happens to the gateways and controllers since.
type departures struct {
	mutex sync.Mutex
	// acknowledged is when each instance's departure was first acknowledged, by its life.
	acknowledged map[string]time.Time
	// thawed is when each machine was last thawed: what it had admitted before may arrive then.
	thawed map[string]time.Time
}

// thawTime is how long after its thaw a machine is excused.
const thawTime = 3 * time.Second

func newDepartures() *departures {
	return &departures{acknowledged: map[string]time.Time{}, thawed: map[string]time.Time{}}
}

// note records that the departure of an instance has been acknowledged.
func (d *departures) note(instance string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.acknowledged[instance]; !known {
		d.acknowledged[instance] = now
	}
}

// thaws excuses a machine that was frozen.
func (d *departures) thaws(machine string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.thawed[machine] = now
}

// tooLate reports whether a request must not reach an instance any more, and how long ago its
// departure was acknowledged. Machines are those that have passed the request on.
func (d *departures) tooLate(instance string, now time.Time, machines ...string) (since time.Duration, late bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, machine := range machines {
		if thawed, ok := d.thawed[machine]; ok && now.Sub(thawed) < thawTime {
			return 0, false
		}
	}
	acknowledged, ok := d.acknowledged[instance]
	since = now.Sub(acknowledged)
	return since, ok && since > drainTime
}

// Deregister sends one deregistration, and reports whether it was acknowledged. The heartbeats go
// on as before.
func (i *Instance) Deregister(ctx context.Context) (acknowledged bool) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgedWithin)
	defer cancel()
	status, err := post(ctx, "http://"+i.Control+"/instances/"+i.ID+"/deregister", i.deregistration())
	if err != nil || status != http.StatusOK {
		return false
	}
	i.ledger.departures.note(i.lifeName(), time.Now())
	return true
}

// checkDeparture checks that a request which reaches the instance comes in time.
func (i *Instance) checkDeparture(id string) {
	from := i.ledger.limits.beginningOf(id).machine
	if since, late := i.ledger.departures.tooLate(i.lifeName(), time.Now(), from, i.Machine); late {
		i.ledger.Broken("drain: %s got request %s from %s, %v after its departure was acknowledged", i.lifeName(), id, from, since.Round(time.Millisecond))
	}
}
