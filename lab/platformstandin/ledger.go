package platformstandin

import (
	"fmt"
	"iter"
	"net/http"
	"sync"
	"time"
)

// Ledger keeps what all instances saw, and what broke a promise.
type Ledger struct {
	mutex sync.Mutex
	// Ran counts the runs of each request id.
	ran map[string]int
	// runs are all runs of each request id.
	runs       map[string][]*Run
	violations []string
	instances  []*Instance
	// promised are the requests that callers were told are not run.
	promised map[string]bool
	// fences has the highest fence of each key of a service that was granted, with
	// its holder.
	fences   map[serviceKey]fenceOf
	owners   *Owners
	limits   *limits
	leavings *leavings
	// departures are those that gateways have acknowledged.
	departures *departures
}

// serviceKey is a key of one service; each has its own.
type serviceKey struct {
	service string
	key     uint32
}

type fenceOf struct {
	fence  uint64
	holder string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ran: map[string]int{}, runs: map[string][]*Run{}, promised: map[string]bool{}, fences: map[serviceKey]fenceOf{}, owners: NewOwners(), limits: newLimits(), leavings: newLeavings(), departures: newDepartures()}
}

// Violations returns every broken promise so far.
func (l *Ledger) Violations() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := append(append([]string{}, l.violations...), l.owners.Findings(time.Now())...)
	return append(found, l.limits.findings()...)
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ran[id]
}

func (l *Ledger) violate(format string, arguments ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// run notes a run. A request that must not repeat may run once.
func (l *Ledger) run(instance *Instance, r *http.Request) *Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id := r.Header.Get("Request-Id")
	l.ran[id]++
	if r.Method == http.MethodPost && l.ran[id] > 1 {
		l.violate("request %s ran %d times", id, l.ran[id])
	}
	if r.Method == http.MethodPost && l.promised[id] {
		l.violate("request %s ran after its caller was told that it never will", id)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != instance.ID {
		l.violate("request %s for %s ran at %s", id, target, instance.ID)
	}
	return l.begins(instance, r, time.Now())
}

// NotRun notes that a caller was told that a request has not run and never will.
func (l *Ledger) NotRun(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.promised[id] = true
	if l.ran[id] > 0 {
		l.violate("request %s ran, and its caller was told that it did not", id)
	}
}

// Broken notes any other broken promise.
func (l *Ledger) Broken(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.violate(format, arguments...)
}

// excuse forgets what a machine has passed on, as it has been restarted or frozen.
func (l *Ledger) excuse(machine string) {
	l.limits.forget(machine)
	l.leavings.forget(machine)
}

// Totals returns how many requests ran, and how many runs there were beyond the
// first of each.
func (l *Ledger) Totals() (requests, repeats int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, runs := range l.ran {
		requests++
		repeats += runs - 1
	}
	return requests, repeats
}

// keysPerCheck is the distance of the keys whose fences are compared.
const keysPerCheck = 16

// checkedKeys are the keys of a range whose fences are compared. Ranges that do
// not overlap share none.
func checkedKeys(keys heldRange) iter.Seq[uint32] {
	return func(yield func(uint32) bool) {
		first := (keys.first + keysPerCheck - 1) / keysPerCheck * keysPerCheck
		for key := first; key <= keys.last; key += keysPerCheck {
			if !yield(key) {
				return
			}
		}
	}
}

// granted checks that fences rise from holder to holder and that no other
// instance holds the range.
func (l *Ledger) granted(instance *Instance, given heldRange) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key := range checkedKeys(given) {
		of := serviceKey{instance.Service, key}
		before := l.fences[of]
		if before.holder != instance.ID && before.holder != "" && given.fence <= before.fence {
			l.violate("key %d went to %s under fence %d, not above %d", key, instance.ID, given.fence, before.fence)
		}
		l.fences[of] = fenceOf{given.fence, instance.ID}
	}
	for _, other := range l.instances {
		if other != instance && other.Service == instance.Service && other.holdsOrWorksOn(given) {
			l.violate("%s and %s both hold keys of %d to %d", instance.ID, other.ID, given.first, given.last)
		}
	}
}
