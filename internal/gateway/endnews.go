package gateway

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// Gateways tell each other at once under which requests a back end has ended: the leader's
// view comes later, and not at all while nobody leads.

const (
	// newsGathered is how long ends are gathered that come together.
	newsGathered = 10 * time.Millisecond
	// newsAgain is when a gateway that could not be told is told again, newsTries how often
	// in all, and newsLimit how long one may take.
	newsAgain = 400 * time.Millisecond
	newsTries = 6
	newsLimit = 500 * time.Millisecond
	// toldAtOnce bounds the gateways that are told at the same time.
	toldAtOnce = 16
	// mostNews bounds a message, in bytes, and the ends in it.
	mostNews     = 256 << 10
	mostNewsEnds = 32
)

// endNews are ends of back ends that other gateways are to be told.
type endNews struct {
	mutex  sync.Mutex
	wake   chan struct{}
	queued []quarantine.Ended
}

func newEndNews() *endNews { return &endNews{wake: make(chan struct{}, 1)} }

func (n *endNews) add(ended quarantine.Ended) {
	n.mutex.Lock()
	n.queued = append(n.queued, ended)
	n.queued = n.queued[max(0, len(n.queued)-mostNewsEnds):]
	n.mutex.Unlock()
	wakeUp(n.wake)
}

func (n *endNews) takeAll() []quarantine.Ended {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	taken := n.queued
	n.queued = nil
	return taken
}

// tellEnds tells the other gateways of ends until the context is over.
func (g *Gateway) tellEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.endNews.wake:
		}
		if !pauseFor(ctx, newsGathered) {
			return
		}
		if ended := g.endNews.takeAll(); len(ended) > 0 {
			g.background(func() { g.tellAll(ctx, ended) })
		}
	}
}

// tellAll tells each other gateway, some of them again where it could not be told.
func (g *Gateway) tellAll(ctx context.Context, ended []quarantine.Ended) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(ended); err != nil {
		g.config.Log.Error("end of a back end not told", "error", err)
		return
	}
	left := g.otherGateways()
	for range newsTries {
		left = g.tellSome(ctx, left, body.Bytes())
		if len(left) == 0 || !pauseFor(ctx, newsAgain) {
			return
		}
	}
	g.config.Log.Warn("end of a back end not told to all gateways", "not_told", len(left))
}

// tellSome tells gateways and returns those that could not be told.
func (g *Gateway) tellSome(ctx context.Context, addresses []string, body []byte) (left []string) {
	var mutex sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, toldAtOnce)
	for _, address := range addresses {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			err := g.tellOne(ctx, address, body)
			g.metrics.endTold(err)
			if err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				left = append(left, address)
			}
		})
	}
	all.Wait()
	return left
}

// tellOne tells one gateway.
func (g *Gateway) tellOne(ctx context.Context, address string, body []byte) error {
	pool := g.peers.get(address).pool
	if pool == nil {
		return fmt.Errorf("no way to %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, newsLimit)
	defer cancel()
	response, err := pool.Do(ctx, &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: address, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)), Header: http.Header{fieldTellsEnds: {"1"}, "User-Agent": {""}},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := readAnswer(response); err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s answers %d", address, response.StatusCode)
	}
	return nil
}

// takeEnds takes what another gateway tells.
func (g *Gateway) takeEnds(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostNews))
	if err == nil {
		err = gobcheck.Whole(body)
	}
	var ended []quarantine.Ended
	if err == nil {
		err = gob.NewDecoder(bytes.NewReader(body)).Decode(&ended)
	}
	if err != nil || len(ended) > mostNewsEnds {
		g.metrics.unread(toldEnds)
		http.Error(w, "ends of back ends not read", http.StatusBadRequest)
		return
	}
	g.quarantine.hear(ended)
	w.WriteHeader(http.StatusNoContent)
}
