package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a back end.
type run struct {
	request string
	backend *backend
	began   time.Time
	// cut says that the back end ended while it was at work on it.
	cut bool
}

// arrival is a request that reached a back end and did not get 421.
type arrival struct {
	request string
	at      time.Time
}

// ledger has what back ends have run.
type ledger struct {
	mutex sync.Mutex
	runs  map[string][]*run
}

func newLedger() *ledger { return &ledger{runs: map[string][]*run{}} }

func (l *ledger) begin(request string, b *backend) *run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	begun := &run{request: request, backend: b, began: time.Now()}
	l.runs[request] = append(l.runs[request], begun)
	return begun
}

func (l *ledger) of(request string) []*run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*run{}, l.runs[request]...)
}

// heldRange is a range of keys that a back end holds until a time.
type heldRange struct {
	first, last uint32
	fence       uint64
	until       time.Time
}

// backend is one life of a back end, beside a gateway.
type backend struct {
	id      string
	machine *machine
	ledger  *ledger
	record  *record
	keyed   bool
	slots   int
	// refuse reports whether the back end turns a request away with 429.
	refuse func() bool
	// surplus reports whether it sends an answer of that kind a second time, when the next
	// request arrives on the connection; surplusGrant is the same for the answers to grants.
	surplus, surplusGrant func() bool
	// owners is told of grants; nil if they aren't checked.
	owners *owners
	// workTime draws how long a request takes.
	workTime func() time.Duration

	listener net.Listener
	// calls is the client for heartbeats, which keeps its connection.
	calls *http.Client

	mutex       sync.Mutex
	connections map[net.Conn]bool
	ended       bool
	silent      bool
	state       string
	sequence    int
	held, seen  []heldRange
	released    []heldRange
	running     map[uint32]int
	arrivals    []arrival
	inProgress  map[*run]bool
}

func never() bool { return false }

// startBackend starts a back end beside a machine; it sends heartbeats until it leaves.
func startBackend(m *machine, l *ledger, keyed bool, work time.Duration) (*backend, error) {
	b := &backend{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), machine: m, ledger: l, record: m.fleet.record, keyed: keyed, slots: 18, state: "ready",
		workTime: func() time.Duration { return work }, refuse: never, surplus: never, surplusGrant: never, connections: map[net.Conn]bool{}, running: map[uint32]int{}, inProgress: map[*run]bool{},
		calls: &http.Client{Transport: &http.Transport{IdleConnTimeout: 10 * time.Second}},
	}
	var err error
	if b.listener, err = net.Listen("tcp", m.app()); err != nil {
		return nil, err
	}
	b.record.add("back end", "%s starts beside %s", b.id, m.name)
	go b.accept()
	go b.beat()
	return b, nil
}

func (b *backend) accept() {
	for {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.connections[connection] = true
		b.mutex.Unlock()
		go b.serve(connection)
	}
}

// call sends a call to the gateway beside the back end and returns its status.
func (b *backend) call(path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.machine.control()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.calls.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

func (b *backend) beat() {
	for {
		b.mutex.Lock()
		b.sequence++
		sequence, state, over := b.sequence, b.state, b.silent || b.ended
		b.mutex.Unlock()
		if over {
			return
		}
		body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"0ms"}}`,
			b.machine.app(), b.machine.service, b.machine.zone, b.slots, state, sequence)
		pause := heartbeatInterval
		if status, err := b.call("/instances/"+b.id+"/heartbeat", body); err != nil || status != http.StatusOK {
			pause = heartbeatInterval / 4
		}
		time.Sleep(pause)
	}
}

// deregister says that the back end leaves, without having said that it drains, and returns
// when that was acknowledged.
func (b *backend) deregister() (acknowledged time.Time, ok bool) {
	b.mutex.Lock()
	b.silent = true
	b.mutex.Unlock()
	status, err := b.call("/instances/"+b.id+"/deregister", "")
	now := time.Now()
	b.record.add("back end", "%s sent its deregistration to %s: status %d, error %v", b.id, b.machine.name, status, err)
	return now, err == nil && status/100 == 2
}

// end ends the back end.
func (b *backend) end() {
	b.mutex.Lock()
	b.ended = true
	_ = b.listener.Close()
	cut := 0
	for inProgress := range b.inProgress {
		inProgress.cut = true
		cut++
	}
	for connection := range b.connections {
		_ = connection.Close()
	}
	b.mutex.Unlock()
	b.record.add("back end", "%s ends, with %d requests at work", b.id, cut)
}

// exchange is one connection to the back end.
type exchange struct {
	*backend
	connection net.Conn
	reader     *bufio.Reader
	// late is a surplus answer that is sent when the next request arrives.
	late string
	// peeked receives whether the connection has ended, once the byte after a request's is there.
	peeked chan bool
}

func (b *backend) serve(connection net.Conn) {
	e := &exchange{backend: b, connection: connection, reader: bufio.NewReader(connection)}
	defer func() {
		_ = connection.Close()
		b.mutex.Lock()
		delete(b.connections, connection)
		b.mutex.Unlock()
	}()
	for {
		if e.peeked != nil && <-e.peeked {
			return
		}
		e.peeked = nil
		request, err := http.ReadRequest(e.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !e.handle(request, body) {
			return
		}
	}
}

// answer writes an answer; the fields are lines of the header.
func (e *exchange) answer(status int, body string, fields ...string) bool {
	_, err := io.WriteString(e.connection, answerText(status, body, fields...))
	return err == nil
}

func answerText(status int, body string, fields ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range fields {
		text += field + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// handle handles one request; false ends the connection.
func (e *exchange) handle(r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/health":
		return e.answer(http.StatusOK, "", "Instance-Id: "+e.id)
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != e.id:
		return e.answer(http.StatusMisdirectedRequest, "", "Not-Executed: 1", "Instance-Id: "+e.id, "Request-Id: "+r.Header.Get("Request-Id"))
	case r.URL.Path == "/grant" || r.URL.Path == "/release":
		return e.handleKeys(r.URL.Path, body)
	}
	return e.work(r)
}

// work runs a request.
func (e *exchange) work(r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	e.mutex.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	e.mutex.Unlock()
	if late := e.late; late != "" {
		e.late = ""
		e.record.add("back end", "%s sends its last answer a second time, in the place where that to %s is due", e.id, id)
		if _, err := io.WriteString(e.connection, late); err != nil {
			return false
		}
	}
	if e.refuse() {
		e.record.add("back end", "%s turns %s away with 429 and Not-Executed", e.id, id)
		text := answerText(http.StatusTooManyRequests, "", "Request-Id: "+id, "Not-Executed: 1")
		if e.surplus() {
			e.late = text
		}
		_, err := io.WriteString(e.connection, text)
		return err == nil
	}
	if e.keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
		if err != nil || !e.beginKey(uint32(key)) {
			return e.answer(http.StatusMisdirectedRequest, "", "Not-Executed: 1", "Request-Id: "+id)
		}
		defer e.endKey(uint32(key))
	}
	begun := e.ledger.begin(id, e.backend)
	e.mutex.Lock()
	e.inProgress[begun] = true
	e.mutex.Unlock()
	e.record.add("back end", "%s begins %s", e.id, id)
	// The next byte comes with the next request; an error means that the caller is gone, and the
	// request is dropped.
	gone := make(chan bool, 1)
	go func() {
		_, err := e.reader.Peek(1)
		gone <- err != nil
	}()
	timer := time.NewTimer(e.workTime())
	defer timer.Stop()
	dropped := false
	select {
	case dropped = <-gone:
		if !dropped {
			<-timer.C
		}
	case <-timer.C:
		e.peeked = gone
	}
	e.mutex.Lock()
	delete(e.inProgress, begun)
	cut := begun.cut
	e.mutex.Unlock()
	if dropped || cut {
		e.record.add("back end", "%s breaks %s off", e.id, id)
		return false
	}
	e.record.add("back end", "%s has run %s", e.id, id)
	return e.answer(http.StatusOK, "done "+id, "Request-Id: "+id, "Response-Seal: seal-"+id)
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	FromRev       uint32 `json:"fromRev"`
	TargetVersion uint32 `json:"targetVersion"`
	Fence         uint64 `json:"fence"`
	HoldTime      string `json:"hold_time"`
}

// handleKeys takes a grant or a release.
func (e *exchange) handleKeys(path string, body []byte) bool {
	var call keyCall
	if json.Unmarshal(body, &call) != nil {
		return e.answer(http.StatusBadRequest, "")
	}
	if late := e.late; late != "" {
		e.late = ""
		e.record.add("back end", "%s sends its last answer a second time, in the place where that to %s %d to %d is due", e.id, path, call.FromRev, call.TargetVersion)
		if _, err := io.WriteString(e.connection, late); err != nil {
			return false
		}
	}
	if path == "/release" {
		e.record.add("back end", "%s is to release %d to %d under %d", e.id, call.FromRev, call.TargetVersion, call.Fence)
		e.release(call.FromRev, call.TargetVersion)
		e.record.add("back end", "%s has released %d to %d", e.id, call.FromRev, call.TargetVersion)
		return e.answer(http.StatusOK, "", fmt.Sprintf("Handover: %016x", rand.Uint64()))
	}
	hold, err := time.ParseDuration(call.HoldTime)
	if err != nil {
		return e.answer(http.StatusBadRequest, "")
	}
	e.mutex.Lock()
	granted := heldRange{call.FromRev, call.TargetVersion, call.Fence, time.Now().Add(hold)}
	for _, seen := range e.seen {
		if seen.first <= granted.last && granted.first <= seen.last && seen.fence > granted.fence {
			e.mutex.Unlock()
			return e.answer(http.StatusConflict, "")
		}
	}
	e.seen = append(e.seen, granted)
	if len(e.seen) > 4096 {
		e.seen = e.seen[len(e.seen)-4096:]
	}
	gained := !covers(e.held, granted)
	e.held = append(without(e.held, granted.first, granted.last), granted)
	e.mutex.Unlock()
	if gained {
		e.record.add("back end", "%s takes %d to %d under %d", e.id, granted.first, granted.last, granted.fence)
	}
	e.owners.granted(e.backend, granted)
	text := answerText(http.StatusOK, "")
	if e.surplusGrant() {
		e.late = text
	}
	_, err = io.WriteString(e.connection, text)
	return err == nil
}

// without returns ranges less the keys from first to last.
func without(ranges []heldRange, first, last uint32) []heldRange {
	var rest []heldRange
	for _, held := range ranges {
		if held.last < first || held.first > last {
			rest = append(rest, held)
			continue
		}
		if held.first < first {
			left := held
			left.last = first - 1
			rest = append(rest, left)
		}
		if held.last > last {
			right := held
			right.first = last + 1
			rest = append(rest, right)
		}
	}
	return rest
}

// covers reports whether one of the ranges has all keys of another.
func covers(ranges []heldRange, other heldRange) bool {
	for _, held := range ranges {
		if held.first <= other.first && other.last <= held.last {
			return true
		}
	}
	return false
}

// release stops new work on keys and returns once the work that ran on them has ended.
func (b *backend) release(first, last uint32) {
	b.mutex.Lock()
	for _, held := range b.held {
		if held.first <= last && first <= held.last {
			b.released = append(b.released, heldRange{max(held.first, first), min(held.last, last), held.fence, held.until})
		}
	}
	b.held = without(b.held, first, last)
	b.mutex.Unlock()
	for range 300 {
		b.mutex.Lock()
		busy := false
		for key, count := range b.running {
			busy = busy || count > 0 && first <= key && key <= last
		}
		b.mutex.Unlock()
		if !busy {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// beginKey reports whether the back end holds a key, and notes that it works on it.
func (b *backend) beginKey(key uint32) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, held := range b.held {
		if held.first <= key && key <= held.last && time.Now().Before(held.until) {
			b.running[key]++
			return true
		}
	}
	return false
}

func (b *backend) endKey(key uint32) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running[key]--
}
