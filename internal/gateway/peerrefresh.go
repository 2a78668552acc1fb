package gateway

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/gobcheck"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway that has lost contact with the leader requests the leader's state from other
// gateways, so that it keeps serving callers while only its connection to the controllers is
// down. The leader does not know about this and does not wait for confirmations from such a
// gateway. Relayed state is therefore valid only for the time within which the leader
// guarantees operators that a change is in force without any confirmation.

const (
	// peerRefreshAfter is the age of the last confirmed state from which on other gateways are
	// asked. At that age the responses to two reports are overdue.
	peerRefreshAfter = 1200 * time.Millisecond
	// peerRefreshInterval is the time between two rounds of requests. peerRefreshFanout is the
	// number of gateways asked in one round; some of them may be cut off as well.
	peerRefreshInterval = 200 * time.Millisecond
	peerRefreshFanout   = 2
	// peerRefreshTimeout bounds a round. It covers a few round trips between regions.
	peerRefreshTimeout = 300 * time.Millisecond
	// maxRelayedDuration is the largest age and validity that is accepted from another
	// gateway, far more than any configuration of the leases allows.
	maxRelayedDuration = time.Hour
)

// errNoRelayedState is returned if the other gateway has received nothing from the leader
// either.
var errNoRelayedState = errors.New("no word of the leader")

// refreshFromPeersLoop requests state from other gateways while the leader is silent.
func (g *Gateway) refreshFromPeersLoop(ctx context.Context) {
	runEvery(ctx, peerRefreshInterval, func() {
		if asOf := g.session.configurationLease.currentAsOf(); asOf.IsZero() || steady.Elapsed(asOf) < peerRefreshAfter {
			return
		}
		requestContext, cancel := context.WithTimeout(ctx, peerRefreshTimeout)
		defer cancel()
		g.refreshFromPeers(requestContext)
	})
}

// refreshFromPeers asks several gateways concurrently. It returns once one has responded with
// its state or all have failed.
func (g *Gateway) refreshFromPeers(ctx context.Context) {
	addresses := g.samplePeers()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- g.refreshFromPeer(ctx, address) }()
	}
	for range addresses {
		err := <-results
		g.metrics.peerRefresh(err)
		if err == nil {
			return
		}
	}
}

// samplePeers returns the addresses of a random sample of the other gateways.
func (g *Gateway) samplePeers() []string {
	addresses := g.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(peerRefreshFanout, len(addresses))]
}

// peerAddresses returns the addresses of all other gateways that are not stopping.
func (g *Gateway) peerAddresses() []string {
	var addresses []string
	seen := map[string]bool{g.config.PeerListen: true, "": true}
	for _, instance := range g.views.load().byID {
		if !seen[instance.Address] && !instance.Leaving {
			seen[instance.Address] = true
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

// refreshFromPeer requests the state of one gateway and applies it.
func (g *Gateway) refreshFromPeer(ctx context.Context, address string) error {
	pool := g.peers.get(address).pool
	if pool == nil {
		return errNoRelayedState
	}
	requestedAt, knownVersion := steady.Reading(), g.views.load().version()
	response, err := pool.Do(ctx, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: address,
		Header: http.Header{fieldKnownVersion: {strconv.FormatUint(uint64(knownVersion), 10)}, "User-Agent": {""}},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := readResponseBody(response)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errNoRelayedState
	}
	if err := gobcheck.CheckLengths(body); err != nil {
		return fmt.Errorf("relayed state of %s: %w", address, err)
	}
	var state fleetwire.RelayedState
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&state); err != nil {
		return fmt.Errorf("relayed state of %s: %w", address, err)
	}
	return g.applyRelayedState(&state, requestedAt, address)
}

// applyRelayedState applies the state that another gateway returned.
func (g *Gateway) applyRelayedState(state *fleetwire.RelayedState, requestedAt time.Time, address string) error {
	if state.Age < 0 || state.Age > maxRelayedDuration || state.For < 0 || state.For > maxRelayedDuration {
		return fmt.Errorf("relayed state of %s: age %v or validity %v out of range: %w", address, state.Age, state.For, errNoRelayedState)
	}
	update := &fleetwire.View{
		PackedDocument: state.PackedDocument, EvacuationsIndex: state.EvacuationsIndex, Evacuated: state.Evacuated,
		QuarantineIndex: state.QuarantineIndex, Suspects: state.Suspects,
	}
	if err := update.Unpack(); err != nil {
		return fmt.Errorf("relayed state of %s: %w", address, err)
	}
	oldVersion := g.views.load().version()
	if err := g.views.apply(update, g.session.configurationLease.currentAsOf()); err != nil {
		return fmt.Errorf("relayed state of %s: %w", address, err)
	}
	if newVersion := g.views.load().version(); newVersion != oldVersion {
		g.config.Log.Info("configuration in force", "version", uint64(newVersion), "told_by", address)
	}
	g.session.configurationLease.extendByPeer(state, requestedAt)
	return nil
}

// serveRelayedState responds to another gateway's request for the leader's state.
func (g *Gateway) serveRelayedState(w http.ResponseWriter, r *http.Request) {
	// Read the lease before the view, so that the view contains everything that the lease
	// covers.
	state := g.session.configurationLease.relay(steady.Reading())
	knownVersion, err := strconv.ParseUint(r.Header.Get(fieldKnownVersion), 10, 64)
	if state == nil || err != nil {
		http.Error(w, errNoRelayedState.Error(), http.StatusServiceUnavailable)
		return
	}
	v := g.views.load()
	state.EvacuationsIndex, state.Evacuated = v.evacuationsIndex, v.evacuatedZones()
	state.QuarantineIndex, state.Suspects = v.quarantineIndex, slices.Collect(maps.Values(v.suspects))
	if v.table != nil && v.version() != routeconfig.Version(knownVersion) {
		if state.PackedDocument, err = fleetwire.Pack(v.table.Document()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(state); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	paced, err := g.beginBody(r.Context(), body.Len())
	if err != nil {
		panic(http.ErrAbortHandler) // returning would send an empty success
	}
	defer paced.end()
	writeResponseHeader(w, http.StatusOK, body.Len())
	paced.write(r.Context(), w, body.Bytes())
}
