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

// A gateway that does not hear the leader asks other gateways for the leader's word, so
// that callers are served while it is cut off from the controllers alone. The leader does
// not know that it is told, and waits for none of its confirmations: what it gets holds
// for as long as the leader's promise to operators allows without one.

const (
	// askAfter is the age of the last word from which other gateways are asked: the
	// answers to two reports are late.
	askAfter = 1200 * time.Millisecond
	// roundInterval is the pause between two rounds, and askedAtOnce how many are asked in
	// one: some of them may be cut off, too.
	roundInterval = 200 * time.Millisecond
	askedAtOnce   = 2
	// askedWithin bounds a round: a few round trips between regions.
	askedWithin = 300 * time.Millisecond
	// longestWord bounds what is believed of a word's age and of how long it holds: far
	// above what any terms allow.
	longestWord = time.Hour
)

// errNoWord: the other gateway has not heard the leader either.
var errNoWord = errors.New("no word of the leader")

// watchWord asks other gateways while the leader is not heard.
func (g *Gateway) watchWord(ctx context.Context) {
	each(ctx, roundInterval, func() {
		if since := g.session.vouched.since(); since.IsZero() || steady.Elapsed(since) < askAfter {
			return
		}
		asking, done := context.WithTimeout(ctx, askedWithin)
		defer done()
		g.askForWord(asking)
	})
}

// askForWord asks some gateways at the same time and returns once one has told, or all
// have failed.
func (g *Gateway) askForWord(ctx context.Context) {
	asked := g.peersToAsk()
	told := make(chan error, len(asked))
	for _, address := range asked {
		go func() { told <- g.askPeer(ctx, address) }()
	}
	for range asked {
		err := <-told
		g.metrics.peerWord(err)
		if err == nil {
			return
		}
	}
}

// peersToAsk are addresses of other gateways, drawn at random.
func (g *Gateway) peersToAsk() []string {
	addresses := g.otherGateways()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(askedAtOnce, len(addresses))]
}

// otherGateways are the addresses of all other gateways that are not being stopped.
func (g *Gateway) otherGateways() []string {
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

// askPeer asks one gateway and puts what it tells in force.
func (g *Gateway) askPeer(ctx context.Context, address string) error {
	pool := g.peers.get(address).pool
	if pool == nil {
		return errNoWord
	}
	asked, known := steady.Reading(), g.views.load().version()
	response, err := pool.Do(ctx, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: address,
		Header: http.Header{fieldAsksWord: {strconv.FormatUint(uint64(known), 10)}, "User-Agent": {""}},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := readAnswer(response)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errNoWord
	}
	if err := gobcheck.Whole(body); err != nil {
		return fmt.Errorf("word of %s: %w", address, err)
	}
	var passed fleetwire.PeerWord
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&passed); err != nil {
		return fmt.Errorf("word of %s: %w", address, err)
	}
	return g.takePeerWord(&passed, asked, address)
}

// takePeerWord puts another gateway's word in force.
func (g *Gateway) takePeerWord(passed *fleetwire.PeerWord, asked time.Time, address string) error {
	if passed.Age < 0 || passed.Age > longestWord || passed.For < 0 || passed.For > longestWord {
		return fmt.Errorf("word of %s: age %v for %v: %w", address, passed.Age, passed.For, errNoWord)
	}
	news := &fleetwire.View{
		PackedDocument: passed.PackedDocument, EvacuationsIndex: passed.EvacuationsIndex, Evacuated: passed.Evacuated,
		QuarantineIndex: passed.QuarantineIndex, Suspects: passed.Suspects,
	}
	if err := news.Unpack(); err != nil {
		return fmt.Errorf("word of %s: %w", address, err)
	}
	before := g.views.load().version()
	if err := g.views.advance(news, g.session.vouched.since()); err != nil {
		return fmt.Errorf("word of %s: %w", address, err)
	}
	if after := g.views.load().version(); after != before {
		g.config.Log.Info("configuration in force", "version", uint64(after), "told_by", address)
	}
	g.session.vouched.takePeer(passed, asked)
	return nil
}

// tellWord answers another gateway that asks for the leader's word.
func (g *Gateway) tellWord(w http.ResponseWriter, r *http.Request) {
	// The word first: the view then has all that it vouches for.
	passed := g.session.vouched.passOn(steady.Reading())
	known, err := strconv.ParseUint(r.Header.Get(fieldAsksWord), 10, 64)
	if passed == nil || err != nil {
		http.Error(w, errNoWord.Error(), http.StatusServiceUnavailable)
		return
	}
	v := g.views.load()
	passed.EvacuationsIndex, passed.Evacuated = v.evacuationsIndex, v.evacuatedZones()
	passed.QuarantineIndex, passed.Suspects = v.quarantineIndex, slices.Collect(maps.Values(v.suspects))
	if v.table != nil && v.version() != routeconfig.Version(known) {
		if passed.PackedDocument, err = fleetwire.Pack(v.table.Document()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(passed); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	g.writeAnswer(r.Context(), w, http.StatusOK, body.Bytes())
}
