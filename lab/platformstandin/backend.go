// Package platformstandin stands in for the users' platform, written from their
// published protocol: machines with settings files, back ends that register
// themselves and take keys, an operator, and callers. Real processes of the
// product run against it in the tests.
package platformstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
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

	ledger *Ledger
	server *http.Server

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
	fences map[serviceKey]fenceOf
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
	return &Ledger{ran: map[string]int{}, runs: map[string][]*Run{}, promised: map[string]bool{}, fences: map[serviceKey]fenceOf{}}
}

// Violations returns every broken promise so far.
func (l *Ledger) Violations() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string{}, l.violations...)
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

// StartInstance serves a back end at an address and begins its heartbeats, which
// end with the context.
func StartInstance(ctx context.Context, ledger *Ledger, address string, instance *Instance) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	instance.ledger = ledger
	instance.warm.until = time.Now().Add(instance.Cold)
	instance.state = "ready"
	ledger.mutex.Lock()
	ledger.instances = append(ledger.instances, instance)
	ledger.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", instance.grant)
	mux.HandleFunc("POST /release", instance.release)
	mux.HandleFunc("GET /health", instance.health)
	mux.HandleFunc("/", instance.work)
	instance.server = &http.Server{Handler: mux}
	go func() { _ = instance.server.Serve(listener) }()
	go instance.beat(ctx, address)
	return nil
}

// Stop ends the instance as a crash does.
func (i *Instance) Stop() {
	i.mutex.Lock()
	i.state, i.held, i.keys = "ended", nil, heartbeatKeys{running: i.keys.running}
	i.mutex.Unlock()
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

const heartbeatInterval = 200 * time.Millisecond

func (i *Instance) beat(ctx context.Context, address string) {
	for ctx.Err() == nil {
		i.mutex.Lock()
		i.sequence++
		state, sequence := i.state, i.sequence
		i.mutex.Unlock()
		if state == "ended" {
			return
		}
		interval := heartbeatInterval
		if sequence%foreignEvery == 0 {
			i.sendForeign(ctx, sequence/foreignEvery)
		}
		if i.ByHeartbeat {
			if i.beatByHeartbeat(ctx, address, state, sequence) {
				interval = hurriedInterval
			}
		} else {
			i.sendBeat(ctx, address, state, sequence)
		}
		_ = pause.For(ctx, interval)
	}
}

// sendBeat sends one heartbeat.
func (i *Instance) sendBeat(ctx context.Context, address, state string, sequence uint64) {
	body := fmt.Sprintf(`{"address":%q,%s"info":{"service":%q,"version":"v1","zone":"z","slots":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"%dms"}}`,
		address, i.bornField(), i.Service, i.Slots, state, sequence, i.warmupLeft().Milliseconds())
	_, _ = post(ctx, "http://"+i.Control+"/instances/"+i.ID+"/heartbeat", body)
}

// bornField is the start as heartbeats tell it.
func (i *Instance) bornField() string {
	if i.Born == 0 {
		return ""
	}
	return fmt.Sprintf(`"born":%d,`, i.Born)
}

// foreignBeats are heartbeats that another kind of writer sends for an instance; the verb
// takes the service.
var foreignBeats = []string{
	``, "\xff\x00", `[]`, `{"status":{"state":"gone","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":%q,"slots":4},"status":{"state":"resting","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":%q,"slots":"4"},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":7,"info":{"service":%q,"slots":4},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":"a:1","born":"now","info":{"service":%q,"slots":4},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":"unheard-of","slots":4},"status":{"state":"draining","sequence":900000000}}`,
}

// foreignEvery is how many heartbeats of its own an instance sends for one of another
// writer.
const foreignEvery = 5

// sendForeign sends a heartbeat of another writer, which must be refused.
func (i *Instance) sendForeign(ctx context.Context, number uint64) {
	body := foreignBeats[number%uint64(len(foreignBeats))]
	if strings.Contains(body, "%") {
		body = fmt.Sprintf(body, i.Service)
	}
	status, err := post(ctx, "http://"+i.Control+"/instances/"+i.ID+"/heartbeat", body)
	if err == nil && status < http.StatusBadRequest {
		i.ledger.Broken("a heartbeat of another writer for %s was taken: %.80q", i.ID, body)
	}
}

// post sends a JSON body and returns the status.
func post(ctx context.Context, url, body string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// grantCall is the body of a grant or a release.
type grantCall struct {
	FromRev       uint32 `json:"fromRev"`
	TargetVersion uint32 `json:"targetVersion"`
	Fence         uint64 `json:"fence"`
	HoldTime      string `json:"hold_time"`
}

func (i *Instance) grant(w http.ResponseWriter, r *http.Request) {
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

// work runs a request.
func (i *Instance) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != i.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
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
