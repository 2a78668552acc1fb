package platformstandin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leavingField is the platform's: the back end that answers leaves.
const leavingField = "Server-Leaving"

// drainTime is how long after a machine has passed on that an instance leaves its callers' requests
// may still reach that instance.
const drainTime = 2 * time.Second

// leavings checks that instances which have said in their answers that they leave get no new
// requests from machines that passed such an answer on.
type leavings struct {
	mutex sync.Mutex
	told  toldMachines
}

func newLeavings() *leavings { return &leavings{told: toldMachines{}} }

// passedOn notes that a machine has passed on that an instance leaves.
func (l *leavings) passedOn(machine, instance string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.told.note(machine, instance, now)
}

// forget excuses a machine that has been restarted or frozen.
func (l *leavings) forget(machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.told.forget(machine)
}

// tooLate reports whether a request that began at a machine must not reach an instance any more,
// and how long before the machine had passed on that it leaves.
func (l *leavings) tooLate(began beginning, instance string) (since time.Duration, late bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	told, ok := l.told[machineAndInstance{began.machine, instance}]
	since = began.at.Sub(told)
	return since, ok && since > drainTime
}

// LeaveByAnswers makes the instance say in its answers that it leaves, while its heartbeats say
// nothing of it, as one whose heartbeats get lost.
func (i *Instance) LeaveByAnswers() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.leaves = true
}

// writeLeaving adds to an answer that the instance leaves, if it does. The caller has the mutex.
func (i *Instance) writeLeaving(header http.Header) {
	if i.leaves || i.state == "draining" {
		header.Set(leavingField, "1")
	}
}

// lifeField names the life of an instance that answers: its id may be that of earlier lives.
const lifeField = "Stand-In-Life"

// lifeName names one life of an instance.
func (i *Instance) lifeName() string { return fmt.Sprintf("%s (life %d)", i.ID, i.life) }

// checkLeaving checks that a request which reaches the instance was not sent after its gateway had
// passed on for drainTime that the instance leaves. Requests that it answers with 421 don't count.
func (i *Instance) checkLeaving(id string) {
	if since, late := i.ledger.leavings.tooLate(i.ledger.limits.beginningOf(id), i.lifeName()); late {
		i.ledger.Broken("drain: %s got request %s, which was sent %v after its gateway had passed on that the instance leaves", i.lifeName(), id, since.Round(time.Millisecond))
	}
}
