package fleetcontroller_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// lines collects log lines of several controllers.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

// contains reports whether a line has all of the parts.
func (l *lines) contains(parts ...string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for line := range strings.SplitSeq(l.text.String(), "\n") {
		found := 0
		for _, part := range parts {
			if strings.Contains(line, part) {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

// awaitAdmission waits until a line tells that the controller at a peer address is a voter.
func (l *lines) awaitAdmission(t *testing.T, peerAddress string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.contains("member admitted", peerAddress, "error=<nil>") {
			return poll.Success()
		}
		return poll.Continue("the controller at %s is no voter", peerAddress)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

// joinForEver requests admission for a controller that never catches up, since nothing listens at its
// address.
func joinForEver(ctx context.Context, leader, peerAddress string, incarnation topology.Incarnation) {
	for ctx.Err() == nil {
		conn, err := transport.Dial(ctx, leader, transport.Options{WriteTimeout: time.Second, IdleTimeout: 10 * time.Second})
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		join := &fleetwire.Join{Incarnation: incarnation, PeerAddress: peerAddress}
		var response fleetwire.FromController
		if conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "slow", Join: join}}) == nil {
			_ = conn.Receive(&response)
		}
		stop()
		_ = conn.Close()
	}
}

// Controllers that never catch up must not keep another one from becoming a voter.
func TestControllersThatNeverCatchUpDoNotHoldUpOthers(t *testing.T) {
	const slow = 20
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	var log lines
	config := g.configs[leader]
	for i := range g.configs {
		g.stop(i)
		g.configs[i].Log = slog.New(slog.NewTextHandler(&log, nil))
	}
	for i := range g.configs {
		g.start(i)
	}
	_, leader = g.change(documentChange(4, 3, 1))
	ctx, cancel := context.WithCancel(t.Context())
	var joining sync.WaitGroup
	defer joining.Wait()
	defer cancel()
	for i := range slow {
		joining.Go(func() {
			address := fleetcontroller.WithPort(fmt.Sprintf("127.78.1.%d:0", i+1), config.PeerListen)
			joinForEver(ctx, g.configs[leader].SessionListen, address, topology.Incarnation(1000+i))
		})
	}
	time.Sleep(shortWait)
	joined := g.configs[leader]
	joined.Name, joined.DataDir, joined.Bootstrap = "c9", filepath.Join(t.TempDir(), "data"), false
	joined.PeerListen = fleetcontroller.WithPort("127.78.0.9:0", config.PeerListen)
	joined.SessionListen = fleetcontroller.WithPort("127.78.0.9:0", config.SessionListen)
	controller, err := fleetcontroller.Start(joined)
	assert.NilError(t, err)
	defer func() { assert.Check(t, controller.Stop()) }()
	log.awaitAdmission(t, joined.PeerListen)
}
