package gateway

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// Gateways notify each other immediately of the requests that were in progress when a back end
// crashed. The leader's view arrives later, and not at all while there is no leader. In a large
// fleet only some gateways are notified as long as the leader tells the others, so that the
// messages do not grow with the crashes times the gateways.

const (
	// noticeBatchDelay is how long crashes are collected into one notice.
	noticeBatchDelay = 10 * time.Millisecond
	// A failed notification is retried after noticeRetryDelay, up to noticeAttempts
	// notifications in total, each of which may take noticeTimeout.
	noticeRetryDelay = 400 * time.Millisecond
	noticeAttempts   = 6
	noticeTimeout    = 500 * time.Millisecond
	// noticeFanout bounds the gateways that are notified before the leader had noticeLeaderTime
	// to confirm the crash: a report and its response.
	noticeFanout     = 64
	noticeLeaderTime = 300 * time.Millisecond
	// noticeConcurrency bounds the gateways that are notified concurrently.
	noticeConcurrency = 16
	// maxNoticeBytes bounds the size of a notice, and maxNoticeCrashes the number of crashes
	// in it.
	maxNoticeBytes   = 256 << 10
	maxNoticeCrashes = 32
)

// crashNoticeQueue holds the crashes of back ends that other gateways have to be notified of.
type crashNoticeQueue struct {
	mutex  sync.Mutex
	wake   chan struct{}
	queued []quarantine.Ended
}

func newCrashNoticeQueue() *crashNoticeQueue { return &crashNoticeQueue{wake: make(chan struct{}, 1)} }

func (n *crashNoticeQueue) add(crash quarantine.Ended) {
	n.mutex.Lock()
	n.queued = append(n.queued, crash)
	n.queued = n.queued[max(0, len(n.queued)-maxNoticeCrashes):]
	n.mutex.Unlock()
	notify(n.wake)
}

func (n *crashNoticeQueue) drain() []quarantine.Ended {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	drained := n.queued
	n.queued = nil
	return drained
}

// sendCrashNotices notifies the other gateways of crashes until the context is canceled.
func (g *Gateway) sendCrashNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.crashNotices.wake:
		}
		if !sleep(ctx, noticeBatchDelay) {
			return
		}
		if crashes := g.crashNotices.drain(); len(crashes) > 0 {
			g.background(func() { g.broadcastCrashes(ctx, crashes) })
		}
	}
}

// broadcastCrashes notifies noticeFanout other gateways and, unless the leader confirms that its
// view has the crashes, then all others. It retries those that failed.
func (g *Gateway) broadcastCrashes(ctx context.Context, crashes []quarantine.Ended) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(crashes); err != nil {
		g.config.Log.Error("end of a back end not told", "error", err)
		return
	}
	remaining := g.peerAddresses()
	if len(remaining) > noticeFanout {
		rand.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		later := remaining[noticeFanout:]
		remaining = g.sendCrashesToPeers(ctx, remaining[:noticeFanout], body.Bytes())
		if !sleep(ctx, noticeLeaderTime) {
			return
		}
		if !g.quarantine.confirmed(crashes) {
			remaining = append(remaining, later...)
		}
	}
	for range noticeAttempts {
		remaining = g.sendCrashesToPeers(ctx, remaining, body.Bytes())
		if len(remaining) == 0 || !sleep(ctx, noticeRetryDelay) {
			return
		}
	}
	g.config.Log.Warn("end of a back end not told to all gateways", "not_told", len(remaining))
}

// sendCrashesToPeers notifies several gateways and returns those that failed.
func (g *Gateway) sendCrashesToPeers(ctx context.Context, addresses []string, body []byte) (failed []string) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, noticeConcurrency)
	for _, address := range addresses {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			err := g.sendCrashesToPeer(ctx, address, body)
			g.metrics.noticeSent(err)
			if err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				failed = append(failed, address)
			}
		})
	}
	group.Wait()
	return failed
}

// sendCrashesToPeer notifies one gateway.
func (g *Gateway) sendCrashesToPeer(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, err := g.postToPeer(ctx, address, http.Header{fieldReportsCrashes: {"1"}}, body)
	return err
}

// receiveCrashes handles a notice of another gateway.
func (g *Gateway) receiveCrashes(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
	if err == nil {
		err = gobcheck.CheckLengths(body)
	}
	var crashes []quarantine.Ended
	if err == nil {
		err = gob.NewDecoder(bytes.NewReader(body)).Decode(&crashes)
	}
	if err != nil || len(crashes) > maxNoticeCrashes {
		g.metrics.countUnreadable(unreadableCrashes)
		http.Error(w, "ends of back ends not read", http.StatusBadRequest)
		return
	}
	g.quarantine.addCrashes(crashes)
	w.WriteHeader(http.StatusNoContent)
}
