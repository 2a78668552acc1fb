// Package machines simulates the platform's list of live and leaving machines
// for the lab: GET /machines returns the list as JSON, and PUT /machines replaces
// it. Changes become visible only after a lag, as on the platform.
package machines

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// State is the state of a machine in the list.
type State string

// States of a machine. A machine that has left is not listed.
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

// List is a list of machines whose changes become visible after a lag.
type List struct {
	lag      time.Duration
	mutex    sync.Mutex
	versions []version
}

type version struct {
	visibleFrom time.Time
	machines    []Machine
}

// NewList returns a list that shows the given machines immediately and later
// changes after the lag.
func NewList(lag time.Duration, machines []Machine) *List {
	return &List{lag: lag, versions: []version{{machines: machines}}}
}

// Set replaces the list; the new one becomes visible after the lag.
func (l *List) Set(machines []Machine, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.versions = append(l.versions, version{visibleFrom: now.Add(l.lag), machines: machines})
}

// Visible returns the list that is visible at the given time.
func (l *List) Visible(now time.Time) []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.versions) > 1 && !now.Before(l.versions[1].visibleFrom) {
		l.versions = l.versions[1:]
	}
	return slices.Clone(l.versions[0].machines)
}

// Handler serves the list.
func (l *List) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/machines", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l.Visible(time.Now()))
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
