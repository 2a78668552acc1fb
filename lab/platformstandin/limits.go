package platformstandin

import (
	"fmt"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// limitField is the platform's: how many requests a second a back end takes from all machines
// together.
const limitField = "Server-Limit"

// Bounds of what an instance that states a limit may get in any limitWindow, once it has stated one
// for limitKnownWithin: limitOver times what the limit allows, and limitSlack beside. Requests count
// that began at a machine which had passed on the statement toldBefore or earlier.
const (
	limitWindow      = 4 * time.Second
	limitKnownWithin = 3 * time.Second
	limitOver        = 1.5
	limitSlack       = 5
	toldBefore       = 500 * time.Millisecond
)

// limits checks that instances get no more than the limits that they state.
type limits struct {
	mutex sync.Mutex
	// begun are the machines at which requests began, and when.
	begun map[string]beginning
	// told are the machines that have passed on a limit of an instance.
	told toldMachines
	// stated are the limits of each instance in the order of their times, and arrivals the
	// requests that count.
	stated   map[string][]statedLimit
	arrivals map[string][]time.Time
}

// beginning is where and when a request was sent by its caller.
type beginning struct {
	machine string
	at      time.Time
}

// machineAndInstance names an instance, and a machine that has passed on what it states.
type machineAndInstance struct{ machine, instance string }

// toldMachines are the moments at which machines first passed on a statement of an instance.
type toldMachines map[machineAndInstance]time.Time

// note records that a machine has passed on a statement of an instance.
func (t toldMachines) note(machine, instance string, now time.Time) {
	of := machineAndInstance{machine, instance}
	if _, ok := t[of]; !ok {
		t[of] = now
	}
}

// forget drops what a machine has passed on.
func (t toldMachines) forget(machine string) {
	for of := range t {
		if of.machine == machine {
			delete(t, of)
		}
	}
}

// statedLimit is what an instance states from a time on; NaN is nothing.
type statedLimit struct {
	perSecond float64
	from      time.Time
}

func newLimits() *limits {
	return &limits{begun: map[string]beginning{}, told: toldMachines{}, stated: map[string][]statedLimit{}, arrivals: map[string][]time.Time{}}
}

// begins notes the machine at which a request begins.
func (l *limits) begins(id, machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begun[id] = beginning{machine, time.Now()}
}

// beginningOf returns where and when a request was sent.
func (l *limits) beginningOf(id string) beginning {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.begun[id]
}

// passedOn notes that a machine has passed on an answer of an instance that states a limit. What is no
// number tells the machine nothing.
func (l *limits) passedOn(machine, instance, text string, now time.Time) {
	if !isLimit(text) {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.told.note(machine, instance, now)
}

// forget excuses a machine that has been restarted, frozen or cut off.
func (l *limits) forget(machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.told.forget(machine)
}

// states notes what an instance states from now on; NaN is nothing.
func (l *limits) states(instance string, perSecond float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stated[instance] = append(l.stated[instance], statedLimit{perSecond, now})
}

// arrives notes a request that reaches an instance.
func (l *limits) arrives(instance, id string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	told, ok := l.told[machineAndInstance{l.begun[id].machine, instance}]
	if ok && now.Sub(told) >= toldBefore {
		l.arrivals[instance] = append(l.arrivals[instance], now)
	}
}

// findings tells of each instance that got more than it had stated, at its worst.
func (l *limits) findings() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []string
	for instance, arrivals := range l.arrivals {
		sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].Before(arrivals[b]) })
		worst, told := 0.0, ""
		for first, from := range arrivals {
			highest, applies := l.highestLimit(instance, from, from.Add(limitWindow))
			if !applies {
				continue
			}
			got := sort.Search(len(arrivals)-first, func(i int) bool { return arrivals[first+i].Sub(from) > limitWindow })
			allowed := limitOver*highest*limitWindow.Seconds() + limitSlack
			if over := float64(got) - allowed; over > worst {
				worst, told = over, fmt.Sprintf("limit: %s states at most %g a second and got %d requests in %v, %.0f allowed", instance, highest, got, limitWindow, allowed)
			}
		}
		if told != "" {
			found = append(found, told)
		}
	}
	sort.Strings(found)
	return found
}

// highestLimit returns the highest limit that an instance stated in a window. It does not apply if
// the instance stated none at some time in the window, or first did so shortly before it.
func (l *limits) highestLimit(instance string, from, until time.Time) (highest float64, applies bool) {
	var since time.Time
	for i, stated := range l.stated[instance] {
		if !stated.from.Before(until) {
			break
		}
		end := until
		if i+1 < len(l.stated[instance]) {
			end = l.stated[instance][i+1].from
		}
		limited := !math.IsNaN(stated.perSecond)
		if limited && since.IsZero() {
			since = stated.from
		}
		if end.After(from) {
			if !limited {
				return 0, false
			}
			highest = max(highest, stated.perSecond)
		}
		if !limited {
			since = time.Time{}
		}
	}
	return highest, !since.IsZero() && !from.Before(since.Add(limitKnownWithin))
}

// isLimit reports whether a text is a number, and so a limit.
func isLimit(text string) bool { return text != "" && strings.Trim(text, "0123456789.") == "" }

// StateLimit makes the instance state a limit in its answers from now on; an empty text states
// none. What is no number is a malformed statement, after which the one before it holds.
func (i *Instance) StateLimit(text string) {
	i.mutex.Lock()
	i.limit = text
	i.mutex.Unlock()
	perSecond := math.NaN()
	if text != "" {
		if !isLimit(text) {
			return
		}
		perSecond, _ = strconv.ParseFloat(text, 64)
	}
	i.ledger.limits.states(i.lifeName(), perSecond, time.Now())
}

// writeStatements adds what the instance states to an answer.
func (i *Instance) writeStatements(header http.Header) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	header.Set(lifeField, i.lifeName())
	if i.limit != "" {
		header.Set(limitField, i.limit)
	}
	i.writeLeaving(header)
}
