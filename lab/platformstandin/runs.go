package platformstandin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

const (
	// workField is how long the back end is to be at work on a request, in
	// milliseconds; none is no time.
	workField = "Work-Ms"
	// lookUpField asks the back end to make a call of its own in the middle of its
	// work; its value is the call's key and work.
	lookUpField = "Look-Up"
	// deadlineField is the platform's: how long the caller waits, in milliseconds.
	deadlineField = "Deadline-Ms"
	// mostWork bounds the work that a request can ask for.
	mostWork = 10 * time.Second
)

// Run is one run of a request at a back end.
type Run struct {
	Request string
	// Instance ran it, beside the gateway of Machine.
	Instance, Machine string
	Began             time.Time
	// Ended is zero as long as the back end is at work.
	Ended time.Time
	// Deadline is what the back end was told; zero is none.
	Deadline time.Time
	// Cut says that the connection went away while the back end was at work,
	// BrokeOff that the back end itself ended.
	Cut, BrokeOff bool
}

// begins notes a run. The caller has the mutex.
func (l *Ledger) begins(instance *Instance, r *http.Request, now time.Time) *Run {
	run := &Run{Request: r.Header.Get("Request-Id"), Instance: instance.ID, Machine: instance.Machine, Began: now}
	if left, ok := milliseconds(r.Header.Get(deadlineField)); ok {
		run.Deadline = now.Add(left)
	}
	l.runs[run.Request] = append(l.runs[run.Request], run)
	return run
}

// ends notes the end of a run.
func (l *Ledger) ends(run *Run, ended time.Time, cut, brokeOff bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.Ended, run.Cut, run.BrokeOff = ended, cut, brokeOff
}

// RunsOf returns the runs of a request.
func (l *Ledger) RunsOf(id string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var runs []Run
	for _, run := range l.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// Cuts returns how many runs were cut while their back end lived.
func (l *Ledger) Cuts() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	cuts := 0
	for _, runs := range l.runs {
		for _, run := range runs {
			if run.Cut && !run.BrokeOff {
				cuts++
			}
		}
	}
	return cuts
}

// LookUp is a call that a back end makes while it is at work, through the gateway
// beside it: to the owner of a key, which is at work on it for a time.
type LookUp struct {
	Key  string
	Work time.Duration
}

// header is the field's value; none asks for no call.
func (l *LookUp) header() string {
	if l == nil {
		return ""
	}
	return l.Key + " " + strconv.FormatInt(l.Work.Milliseconds(), 10)
}

// parseLookUp reads the field.
func parseLookUp(text string) *LookUp {
	key, work, _ := strings.Cut(text, " ")
	lasts, ok := milliseconds(work)
	if !ok {
		return nil
	}
	return &LookUp{Key: key, Work: lasts}
}

// atWork is at work for as long as a request asks, with a call of its own in the
// middle where it asks for one, and reports that it came to the end.
func (i *Instance) atWork(ctx context.Context, r *http.Request) bool {
	work, _ := milliseconds(r.Header.Get(workField))
	work = min(work, mostWork)
	lookUp := parseLookUp(r.Header.Get(lookUpField))
	if lookUp == nil || i.Calls == nil {
		return pause.For(ctx, work) == nil
	}
	if pause.For(ctx, work/2) != nil {
		return false
	}
	i.Calls(ctx, *lookUp)
	return pause.For(ctx, work/2) == nil
}

// milliseconds reads a field of whole milliseconds.
func milliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value) * time.Millisecond, true
}
