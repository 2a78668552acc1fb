package platformstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// What a back end does that gets its keys by heartbeat, as strictly as the
// platform's page says it.
const (
	// acknowledgedWithin is how long an answer may take, and mostAnswer how long
	// it may be, in bytes.
	acknowledgedWithin = time.Second
	mostAnswer         = 4 << 10
	// hurriedInterval is between heartbeats while keys are being let go.
	hurriedInterval = 100 * time.Millisecond
	// slowClock is by how much a back end may hold keys for too long.
	slowClock = 1.02
)

// heartbeatKeys is what a back end keeps of its keys beside what it holds.
type heartbeatKeys struct {
	// leaving ranges get no new work, and are named until their work has ended.
	leaving []heldRange
	// released ranges get no new work, and their releases wait until their work has ended.
	released []heldRange
	// freed ranges have not been told in an acknowledged heartbeat.
	freed []heldRange
	// running counts the requests at work, by key.
	running map[uint32]int
}

// keyRow is a row of numbers and texts.
type keyRow []any

// keyAnswer is the part of a heartbeat's answer about keys. Holds is nil where
// the answer renews nothing.
type keyAnswer struct {
	Holds    *[]offeredRow `json:"holds"`
	HoldTime string        `json:"hold_time"`
}

// offeredRow is [from, to, fence, handover].
type offeredRow struct {
	first, last uint32
	fence       uint64
	handover    string
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *offeredRow) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&r.first, &r.last, &r.fence, &r.handover})
}

// keyRows returns the rows of a heartbeat: what is held or still worked on, and
// what was let go.
func (i *Instance) keyRows(now time.Time) (holds, freed []keyRow) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.dropOver(now)
	i.endLeaving()
	holds, freed = []keyRow{}, []keyRow{}
	for _, held := range append(append([]heldRange{}, i.held...), i.keys.leaving...) {
		holds = append(holds, keyRow{held.first, held.last, held.fence})
	}
	for _, row := range i.keys.freed {
		freed = append(freed, keyRow{row.first, row.last, fmt.Sprintf("%016x", row.fence)})
	}
	return holds, freed
}

// dropOver forgets what has run out; it is not told as let go.
func (i *Instance) dropOver(now time.Time) {
	var rest []heldRange
	for _, held := range i.held {
		if now.Before(held.until) {
			rest = append(rest, held)
		}
	}
	i.held = rest
}

// endLeaving frees ranges whose work has ended. One that is held again meanwhile
// is not told.
func (i *Instance) endLeaving() {
	var rest []heldRange
	for _, leaving := range i.keys.leaving {
		if i.worksOn(leaving) {
			rest = append(rest, leaving)
			continue
		}
		if !i.overlapsHeld(leaving) {
			i.keys.freed = append(i.keys.freed, leaving)
		}
	}
	i.keys.leaving = rest
}

func (i *Instance) overlapsHeld(keys heldRange) bool {
	return slices.ContainsFunc(i.held, func(held heldRange) bool { return held.first <= keys.last && keys.first <= held.last })
}

// holdsOrWorksOn says that it holds a key of a range, or still works on one.
func (i *Instance) holdsOrWorksOn(wanted heldRange) bool {
	if i.holdsAny(wanted) {
		return true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, ranges := range [][]heldRange{i.keys.leaving, i.keys.released} {
		for _, leaving := range common(ranges, wanted) {
			if time.Now().Before(leaving.until) && i.worksOn(leaving) {
				return true
			}
		}
	}
	return false
}

func (i *Instance) worksOn(keys heldRange) bool {
	for key, count := range i.keys.running {
		if count > 0 && keys.first <= key && key <= keys.last {
			return true
		}
	}
	return false
}

// beatByHeartbeat sends one heartbeat with keys and obeys its answer. It reports
// whether ranges are still to be let go.
func (i *Instance) beatByHeartbeat(ctx context.Context, address, state string, sequence uint64) bool {
	sent := time.Now()
	holds, freed := i.keyRows(sent)
	said := map[string]any{
		"address": address,
		"info":    map[string]any{"service": i.Service, "version": "v1", "zone": "z", "slots": i.Slots},
		"status":  map[string]any{"state": state, "sequence": sequence, "warmupLeft": "0ms"},
		"holds":   holds,
		"freed":   freed,
	}
	if i.Born != 0 {
		said["born"] = i.Born
	}
	body, err := json.Marshal(said)
	if err != nil {
		return false
	}
	answer, ok := i.askForKeys(ctx, body)
	if !ok {
		return false
	}
	i.heartbeatAcknowledged(state)
	i.mutex.Lock()
	i.keys.freed = i.keys.freed[min(len(freed), len(i.keys.freed)):]
	i.mutex.Unlock()
	hold, err := time.ParseDuration(answer.HoldTime)
	if answer.Holds == nil || err != nil {
		return false
	}
	i.obey(*answer.Holds, sent.Add(time.Duration(slowClock*float64(hold))))
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.keys.leaving)+len(i.keys.freed) > 0
}

// askForKeys sends a heartbeat. An answer that comes late or is too long is none.
func (i *Instance) askForKeys(ctx context.Context, body []byte) (keyAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgedWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.Control+"/instances/"+i.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return keyAnswer{}, false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return keyAnswer{}, false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer+1))
	if err != nil || response.StatusCode != http.StatusOK {
		return keyAnswer{}, false
	}
	if len(content) > mostAnswer {
		i.ledger.Broken("answer to a heartbeat of %s has more than %d bytes", i.ID, mostAnswer)
		return keyAnswer{}, false
	}
	var answer keyAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		i.ledger.Broken("answer to a heartbeat of %s: %v", i.ID, err)
		return keyAnswer{}, false
	}
	i.heldUp()
	return answer, ctx.Err() == nil
}

// obey lets go of what an answer leaves out and takes the rest.
func (i *Instance) obey(rows []offeredRow, until time.Time) {
	given := make([]heldRange, 0, len(rows))
	for _, row := range rows {
		given = append(given, heldRange{row.first, row.last, row.fence, until})
	}
	i.mutex.Lock()
	leftOut := i.held
	for _, keys := range given {
		leftOut = without(leftOut, keys)
	}
	i.keys.leaving = append(i.keys.leaving, leftOut...)
	for _, left := range leftOut {
		i.held = without(i.held, left)
		i.tell(KeyEvent{Kind: LetKeysGo, First: left.first, Last: left.last})
	}
	i.mutex.Unlock()
	for _, keys := range given {
		i.accept(keys, false)
	}
}

// startWork and endWork count the requests at work on a key. None begins on a key that is
// not held.
func (i *Instance) startWork(key uint32) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !slices.ContainsFunc(i.held, func(held heldRange) bool { return held.first <= key && key <= held.last && now.Before(held.until) }) {
		return false
	}
	if i.keys.running == nil {
		i.keys.running = map[uint32]int{}
	}
	i.keys.running[key]++
	i.tell(KeyEvent{Kind: BeganRun, First: key, Last: key})
	return true
}

func (i *Instance) endWork(key uint32) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.tell(KeyEvent{Kind: EndedRun, First: key, Last: key})
	if i.keys.running[key]--; i.keys.running[key] == 0 {
		delete(i.keys.running, key)
	}
}
