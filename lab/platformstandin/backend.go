// Package platformstandin stands in for the users' platform, written from their
// published protocol: machines with settings files, back ends that register
// themselves and take keys, an operator, and callers. Real processes of the
// product run against it in the tests.
package platformstandin

import (
	"context"
	"errors"
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

	// Ends reports whether a request ends the back end that begins it, and notes that it
	// did; nil is none.
	Ends func(*http.Request) bool

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
	// seen has the highest fence that each key was granted under.
	seen []heldRange
	// life tells apart the lives of one id.
	life int64
	// late draws for how long a grant is held up before it is taken without an
	// answer; nil, or zero drawn, is not.
	late func() time.Duration
	warm warmth
	// limit is the text of the limit that its answers state; empty states none.
	limit string
	// leaves says that its answers state that it leaves, whatever its heartbeats say.
	leaves bool
	// surplus and refusals draw which answers are sent twice, and which requests are turned away; nil
	// is none.
	surplus  func() Surplus
	refusals func() bool
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
	instance.server = &http.Server{Handler: instance.routes(), ConnState: noteState}
	instance.door.address, instance.said.sent = address, make(chan struct{})
	instance.ledger = ledger
	instance.warm.until = time.Now().Add(instance.Cold)
	instance.state = "ready"
	ledger.mutex.Lock()
	ledger.instances = append(ledger.instances, instance)
	instance.life = int64(len(ledger.instances))
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
	i.tell(KeyEvent{Kind: LifeEnded})
	i.mutex.Unlock()
	i.closeDoor(true)
	_ = i.server.Close()
}

// timeToEnd is how long a request that ends its back end is at work until then.
const timeToEnd = 30 * time.Millisecond

// endUnder ends the instance under a run, as a crash does.
func (i *Instance) endUnder(run *Run) {
	time.Sleep(timeToEnd)
	i.ledger.ends(run, time.Now(), false, true)
	go i.Stop()
	panic(http.ErrAbortHandler)
}

// Ended reports whether the instance's life is over.
func (i *Instance) Ended() bool { return i.ended() }

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
	i.ledger.limits.arrives(i.lifeName(), id, time.Now())
	if i.misdirected(w, r) || i.turnsAway(w) {
		return
	}
	if i.Keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 32)
		if err != nil || !i.startWork(uint32(key)) {
			i.writeStatements(w.Header())
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer i.endWork(uint32(key))
	}
	i.arrives()
	i.checkLeaving(id)
	i.checkDeparture(id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := i.ledger.run(i, r)
	if i.Ends != nil && i.Ends(r) {
		i.endUnder(run)
	}
	ctx, over := i.insideLease(r)
	defer over()
	whole := i.atWork(ctx, r)
	outlasted := errors.Is(context.Cause(ctx), errLeaseOver)
	i.ledger.ends(run, time.Now(), !whole && !outlasted, i.ended())
	w.Header().Set("Response-Seal", "seal-"+id)
	i.writeStatements(w.Header())
	switch {
	case outlasted:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !whole:
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %s %s %d", i.ID, i.Service, r.RequestURI, r.Header.Get("Caller-Service"), len(body))
}
