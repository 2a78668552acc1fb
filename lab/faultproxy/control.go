package faultproxy

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 1 << 20

// Handler serves the control API of proxies, which addresses them by name and
// uses JSON: PUT /proxies/NAME/faults sets Faults and DELETE removes them, POST
// /proxies/NAME/script starts a script of Steps, and GET /proxies/NAME returns
// Counters.
func Handler(proxies ...*Proxy) http.Handler {
	byName := make(map[string]*Proxy)
	for _, proxy := range proxies {
		byName[proxy.Name()] = proxy
	}
	withProxy := func(handle func(*Proxy, http.ResponseWriter, *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			proxy := byName[chi.URLParam(r, "name")]
			if proxy == nil {
				http.NotFound(w, r)
				return
			}
			handle(proxy, w, r)
		}
	}
	router := chi.NewRouter()
	router.Get("/proxies/{name}", withProxy(handleCounters))
	router.Put("/proxies/{name}/faults", withProxy(handleFaults))
	router.Delete("/proxies/{name}/faults", withProxy(handleHeal))
	router.Post("/proxies/{name}/script", withProxy(handleScript))
	return router
}

func handleCounters(proxy *Proxy, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(proxy.Counters())
}

func handleHeal(proxy *Proxy, _ http.ResponseWriter, _ *http.Request) { proxy.Heal() }

func handleFaults(proxy *Proxy, w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	if err := proxy.Set(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func handleScript(proxy *Proxy, w http.ResponseWriter, r *http.Request) {
	var script []Step
	if !decode(w, r, &script) {
		return
	}
	proxy.goroutines.Go(func() { proxy.Run(proxy.ctx, script) })
	w.WriteHeader(http.StatusAccepted)
}

func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
