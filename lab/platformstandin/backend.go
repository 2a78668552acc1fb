// Package platformstandin stands in for the users' platform, written from their
// published protocol: machines with settings files, back ends that register
// themselves and take keys, an operator, and callers. Real processes of the
// product run against it in the tests.
package platformstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is a stand-in of one life of a back end.
type Instance struct {
	ID      string
	Service string
	// Machine is the name of the machine that it is beside.
	Machine string
	Keyed   bool
	// Born is its start in milliseconds of Unix time, by a clock that may be wrong; zero
	// tells none.
	Born int64
	// ByHeartbeat says that it gets its keys by heartbeat and not by call.
	ByHeartbeat bool
	// Control takes heartbeats, "IP:port".
	Control string
	Slots   int
	// Cold is how long after its start it is cold, and ColdRate how many requests a second
	// it bears until then.
	Cold     time.Duration
	ColdRate float64
	// Calls makes a call of the back end, and returns when it is over; nil makes
	// none.
	Calls func(context.Context, LookUp)

	// ListenLate is how long after its first heartbeat it begins to listen.
	ListenLate time.Duration

	ledger *Ledger
	server *http.Server
	door   door
	// said is closed once a heartbeat that says that it leaves has been sent.
	said leave

	mutex    sync.Mutex
	state    string
	sequence uint64
	held     []heldRange
	keys     heartbeatKeys
	// seen has the highest fence that each sampled key was granted under.
	seen map[uint32]uint64
	// late draws for how long a grant is held up before it is taken without an
	// answer; nil, or zero drawn, is not.
	late func() time.Duration
	warm warmth
}

// heldRange is a range that an instance holds until a time.
type heldRange struct {
	first, last uint32
	fence       uint64
	until       time.Time
}

// StartInstance serves a back end at an address and begins its heartbeats, which
// end with the context.
func StartInstance(ctx context.Context, ledger *Ledger, address string, instance *Instance) error {
	instance.server, instance.door.address, instance.said.sent = &http.Server{Handler: instance.routes()}, address, make(chan struct{})
	instance.ledger = ledger
	instance.warm.until = time.Now().Add(instance.Cold)
	instance.state = "ready"
	ledger.mutex.Lock()
	ledger.instances = append(ledger.instances, instance)
	ledger.mutex.Unlock()
	if instance.ListenLate > 0 {
		go instance.listenLate(ctx)
	} else if err := instance.Listen(); err != nil {
		instance.Stop()
		return err
	}
	go instance.beat(ctx, address)
	return nil
}

func (i *Instance) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", i.grant)
	mux.HandleFunc("POST /release", i.release)
	mux.HandleFunc("GET /health", i.health)
	mux.HandleFunc("/", i.work)
	return mux
}

// Stop ends the instance as a crash does.
func (i *Instance) Stop() {
	i.mutex.Lock()
	i.state, i.held, i.keys = "ended", nil, heartbeatKeys{running: i.keys.running}
	i.mutex.Unlock()
	i.closeDoor(true)
	_ = i.server.Close()
}

func (i *Instance) ended() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state == "ended"
}

// Drain announces that the instance leaves.
func (i *Instance) Drain() {
	i.mutex.Lock()
	i.state = "draining"
	i.mutex.Unlock()
}

// grantCall is the body of a grant or a release.
type grantCall struct {
	FromRev       uint32 `json:"fromRev"`
	TargetVersion uint32 `json:"targetVersion"`
	Fence         uint64 `json:"fence"`
	HoldTime      string `json:"hold_time"`
}

func (i *Instance) grant(w http.ResponseWriter, r *http.Request) {
	if i.misdirected(w, r) {
		return
	}
	var call grantCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(call.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held := i.heldUp()
	if !i.accept(heldRange{call.FromRev, call.TargetVersion, call.Fence, time.Now().Add(hold)}) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if held {
		panic(http.ErrAbortHandler)
	}
}

// SetLate makes the instance hold up grants, and take them without an answer,
// for as long as a function draws; nil ends it.
func (i *Instance) SetLate(late func() time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.late = late
}

// heldUp waits for the time by which a grant is late, and reports that it is.
func (i *Instance) heldUp() bool {
	i.mutex.Lock()
	late := i.late
	i.mutex.Unlock()
	if late == nil {
		return false
	}
	delay := late()
	time.Sleep(delay)
	return delay > 0
}

// accept takes a grant, unless a higher fence was seen on one of its keys or the
// instance has ended.
func (i *Instance) accept(given heldRange) bool {
	i.mutex.Lock()
	if i.state == "ended" {
		i.mutex.Unlock()
		return false
	}
	for key := range checkedKeys(given) {
		if i.seen[key] > given.fence {
			i.mutex.Unlock()
			return false
		}
	}
	if i.seen == nil {
		i.seen = map[uint32]uint64{}
	}
	for key := range checkedKeys(given) {
		i.seen[key] = given.fence
	}
	i.mutex.Unlock()
	i.ledger.granted(i, given)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.take(given)
	i.held = append(i.held, given)
	return true
}

// take removes a range from what is held.
func (i *Instance) take(taken heldRange) {
	var rest []heldRange
	for _, held := range i.held {
		if taken.last < held.first || held.last < taken.first {
			rest = append(rest, held)
			continue
		}
		if held.first < taken.first {
			left := held
			left.last = taken.first - 1
			rest = append(rest, left)
		}
		if taken.last < held.last {
			right := held
			right.first = taken.last + 1
			rest = append(rest, right)
		}
	}
	i.held = rest
}

func (i *Instance) release(w http.ResponseWriter, r *http.Request) {
	if i.misdirected(w, r) {
		return
	}
	var call grantCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mutex.Lock()
	i.take(heldRange{first: call.FromRev, last: call.TargetVersion})
	i.mutex.Unlock()
	w.Header().Set("Handover", fmt.Sprintf("%016x", call.Fence))
}

func (i *Instance) holdsAny(wanted heldRange) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for _, held := range i.held {
		if now.Before(held.until) && held.first <= wanted.last && wanted.first <= held.last {
			return true
		}
	}
	return false
}

// misdirected answers a call that names another back end, and reports that it does.
func (i *Instance) misdirected(w http.ResponseWriter, r *http.Request) bool {
	target := r.Header.Get("Target-Instance")
	if target == "" || target == i.ID {
		return false
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// work runs a request.
func (i *Instance) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if i.misdirected(w, r) {
		return
	}
	if i.Keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 32)
		if err != nil || !i.holdsAny(heldRange{first: uint32(key), last: uint32(key)}) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		i.startWork(uint32(key))
		defer i.endWork(uint32(key))
	}
	i.arrives()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := i.ledger.run(i, r)
	whole := i.atWork(r.Context(), r)
	i.ledger.ends(run, time.Now(), !whole, i.ended())
	if !whole {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	fmt.Fprintf(w, "%s %s %s %s %d", i.ID, i.Service, r.RequestURI, r.Header.Get("Caller-Service"), len(body))
}
