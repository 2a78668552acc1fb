package backend

import (
	"net/http"
)

// Behaviour makes a stand-in misbehave; PUT /_lab/behaviour replaces it. The
// zero value behaves well.
type Behaviour struct {
	// ReportSick makes the health endpoint fail although requests are served.
	ReportSick bool `json:"report_sick"`
	// ClaimBusy is what the load endpoint says in place of the truth.
	ClaimBusy *int64 `json:"claim_busy"`
	// FailRequests answers every request with 500 at once, while health and
	// load look fine.
	FailRequests bool `json:"fail_requests"`
	// SwallowRequests takes requests and never answers them.
	SwallowRequests bool `json:"swallow_requests"`
	// ShedRequests answers every request not run.
	ShedRequests bool `json:"shed_requests"`
	// SlowFactor multiplies the time of every request; zero is 1.
	SlowFactor float64 `json:"slow_factor"`
}

func (b *Backend) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	var behaviour Behaviour
	if !readJSON(w, r, &behaviour) {
		return
	}
	b.behaviour.Store(&behaviour)
	w.WriteHeader(http.StatusOK)
}
