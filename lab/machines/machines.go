// Package machines is the lab's stand-in for the platform's list of live and
// leaving machines: GET /machines answers a JSON list, and PUT /machines
// changes it. Changes show only after a lag, as on the platform.
package machines

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// State of a machine in the list.
type State string

// States of a machine. A machine that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	// Backend is the name of the back end on the machine.
	Backend string `json:"backend"`
	State   State  `json:"state"`
}

// maxListBytes bounds the body of PUT /machines.
const maxListBytes = 8 << 20

// List is the lagging list.
type List struct {
	lag     time.Duration
	mutex   sync.Mutex
	changes []change
}

type change struct {
	shownFrom time.Time
	machines  []Machine
}

// NewList returns a list that shows machines at once and later changes after
// the lag.
func NewList(lag time.Duration, machines []Machine) *List {
	return &List{lag: lag, changes: []change{{machines: machines}}}
}

// Set replaces the list; the change shows after the lag.
func (l *List) Set(machines []Machine, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes = append(l.changes, change{shownFrom: now.Add(l.lag), machines: machines})
}

// Shown returns the list as it shows at an instant.
func (l *List) Shown(now time.Time) []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.changes) > 1 && !now.Before(l.changes[1].shownFrom) {
		l.changes = l.changes[1:]
	}
	return slices.Clone(l.changes[0].machines)
}

// Handler serves the list.
func (l *List) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/machines", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l.Shown(time.Now()))
	})
	router.Put("/machines", func(w http.ResponseWriter, r *http.Request) {
		var machines []Machine
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxListBytes)).Decode(&machines); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(machines, time.Now())
	})
	return router
}
