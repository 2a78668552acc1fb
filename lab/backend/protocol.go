package backend

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// maxControlBytes bounds the body of a grants, warm or behaviour message.
const maxControlBytes = 8 << 20

// grantsMessage is the body of PUT /_quartzdock/grants.
type grantsMessage struct {
	Backend topology.BackendID `json:"backend"`
	// Boot and ValidUntilMilliseconds give the end of the lease as a reading of
	// the back end's clock.
	Boot                   string `json:"boot"`
	ValidUntilMilliseconds int64  `json:"valid_until_ms"`
	// LeaseMilliseconds counts from receipt; it is taken where Boot is empty.
	LeaseMilliseconds int64 `json:"lease_ms"`
	// Sequence grows with each message of an agent and its successors. One that
	// is not above the highest seen was overtaken and is not taken.
	Sequence uint64 `json:"sequence"`
	// Replace drops all earlier grants first.
	Replace bool     `json:"replace"`
	Grants  []grant  `json:"grants"`
	Revoked []string `json:"revoked"`
}

type grant struct {
	Shard string         `json:"shard"`
	Epoch topology.Epoch `json:"epoch"`
}

type warmMessage struct {
	Shard string `json:"shard"`
}

// loadAnswer is the body of GET /_quartzdock/load.
type loadAnswer struct {
	Busy  int64 `json:"busy"`
	Slots int   `json:"slots"`
}

// statusAnswer is the body of GET /_lab/status.
type statusAnswer struct {
	Running          int64 `json:"running"`
	Grants           int   `json:"grants"`
	OpenConnections  int   `json:"open_connections"`
	TotalConnections int   `json:"total_connections"`
	Draining         bool  `json:"draining"`
}

func readJSON(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(message)
}

func (b *Backend) handleGrants(w http.ResponseWriter, r *http.Request) {
	var message grantsMessage
	if !readJSON(w, r, &message) {
		return
	}
	received := time.Now()
	err := b.fence.apply(message, received)
	var lower *lowerEpochError
	switch {
	case errors.As(err, &lower):
		writeJSON(w, http.StatusConflict, lower)
		return
	case err != nil:
		writeJSON(w, http.StatusPreconditionFailed, b.fence.read(received))
		return
	}
	for _, shard := range message.Revoked {
		b.warmth.cool(shard)
	}
	writeJSON(w, http.StatusOK, b.fence.read(received))
}

func (b *Backend) handleWarm(w http.ResponseWriter, r *http.Request) {
	var message warmMessage
	if !readJSON(w, r, &message) {
		return
	}
	if err := b.warmth.prepare(r.Context(), message.Shard); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (b *Backend) handleDrain(w http.ResponseWriter, _ *http.Request) {
	b.draining.Store(true)
	w.WriteHeader(http.StatusOK)
}

func (b *Backend) handleUndrain(w http.ResponseWriter, _ *http.Request) {
	b.draining.Store(false)
	w.WriteHeader(http.StatusOK)
}

func (b *Backend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(b.config.ProbeCost)
	if b.behaviour.Load().ReportSick || b.draining.Load() {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (b *Backend) handleLoad(w http.ResponseWriter, _ *http.Request) {
	answer := loadAnswer{Busy: b.running.Load(), Slots: b.config.Slots}
	if claimed := b.behaviour.Load().ClaimBusy; claimed != nil {
		answer.Busy = *claimed
	}
	writeJSON(w, http.StatusOK, answer)
}

func (b *Backend) handleStatus(w http.ResponseWriter, _ *http.Request) {
	open, total := b.listener.counts()
	writeJSON(w, http.StatusOK, statusAnswer{
		Running:          b.running.Load(),
		Grants:           b.fence.grantCount(),
		OpenConnections:  open,
		TotalConnections: total,
		Draining:         b.draining.Load(),
	})
}
