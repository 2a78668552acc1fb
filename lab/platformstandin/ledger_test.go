package platformstandin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	// The program under test is built from the adapter; the import lets a cached
	// result of this package's tests end with any change of it.
	_ "github.com/quartzdock/quartzdock/platform"
)

// ran notes a run of a request at an instance.
func ran(ledger *Ledger, instance *Instance, method, id, target string) {
	request := httptest.NewRequest(method, "/p/x", nil)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Target-Instance", target)
	ledger.run(instance, request)
}

// Each break of a promise that the ledger is there for is found, and what keeps
// the promises is not.
func TestTheLedgerFindsBrokenPromises(t *testing.T) {
	until := time.Now().Add(time.Minute)
	cases := []struct {
		name   string
		script func(ledger *Ledger, a, b *Instance)
		broken bool
	}{
		{"one run", func(l *Ledger, a, _ *Instance) { ran(l, a, http.MethodPost, "r", "a") }, false},
		{"two runs of what must not repeat", func(l *Ledger, a, b *Instance) {
			ran(l, a, http.MethodPost, "r", "a")
			ran(l, b, http.MethodPost, "r", "b")
		}, true},
		{"two runs of what may repeat", func(l *Ledger, a, b *Instance) {
			ran(l, a, http.MethodGet, "r", "a")
			ran(l, b, http.MethodGet, "r", "b")
		}, false},
		{"run elsewhere", func(l *Ledger, a, _ *Instance) { ran(l, a, http.MethodGet, "r", "b") }, true},
		{"promised after the run", func(l *Ledger, a, _ *Instance) {
			ran(l, a, http.MethodGet, "r", "a")
			l.NotRun("r")
		}, true},
		{"run after the promise", func(l *Ledger, a, _ *Instance) {
			l.NotRun("r")
			ran(l, a, http.MethodPost, "r", "a")
		}, true},
		{"rising fences", func(l *Ledger, a, b *Instance) {
			l.granted(a, heldRange{0, 99, 5, until})
			l.granted(b, heldRange{0, 99, 6, until})
		}, false},
		{"the same fence", func(l *Ledger, a, b *Instance) {
			l.granted(a, heldRange{0, 99, 5, until})
			l.granted(b, heldRange{50, 149, 5, until})
		}, true},
		{"neighbours under one fence", func(l *Ledger, a, b *Instance) {
			l.granted(a, heldRange{0, 99, 5, until})
			l.granted(b, heldRange{100, 199, 5, until})
		}, false},
		{"two holders", func(l *Ledger, a, b *Instance) {
			a.held = []heldRange{{0, 99, 5, until}}
			l.granted(b, heldRange{90, 149, 6, until})
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			a, b := &Instance{ID: "a", Service: "keyed"}, &Instance{ID: "b", Service: "keyed"}
			ledger.instances = []*Instance{a, b}
			test.script(ledger, a, b)
			assert.Equal(t, len(ledger.Violations()) > 0, test.broken, "%v", ledger.Violations())
		})
	}
}

// A grant that comes late, after a higher fence was seen, is refused.
func TestALateGrantUnderALowerFenceIsRefused(t *testing.T) {
	instance := &Instance{ID: "a", Service: "keyed", ledger: NewLedger()}
	until := time.Now().Add(time.Minute)
	assert.Assert(t, instance.accept(heldRange{0, 99, 7, until}, false))
	assert.Assert(t, !instance.accept(heldRange{32, 40, 6, until}, false))
	assert.Assert(t, instance.accept(heldRange{32, 40, 7, until}, false))
	instance.state = "ended"
	assert.Assert(t, !instance.accept(heldRange{0, 99, 8, until}, false), "an ended life takes nothing")
}
