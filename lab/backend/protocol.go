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
	Backend           topology.BackendID `json:"backend"`
	LeaseMilliseconds int64              `json:"lease_ms"`
	Grants            []grant            `json:"grants"`
	Revoked           []string           `json:"revoked"`
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
	err := b.fence.apply(message, time.Now())
	var lower *lowerEpochError
	if errors.As(err, &lower) {
		writeJSON(w, http.StatusConflict, lower)
		return
	}
	for _, shard := range message.Revoked {
		b.warmth.cool(shard)
	}
	w.WriteHeader(http.StatusOK)
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
