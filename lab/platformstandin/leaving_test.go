package platformstandin

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// Back ends say in their answers that they leave, and their heartbeats that would say so get lost.
// Each gateway that has passed such an answer on stops sending to them, also while nobody leads and
// while the gateways beside them are restarted.
func TestLeavingBackEndsGetNoNewRequests(t *testing.T) { byBoth(t, leavingBackEndsGetNoNewRequests) }

func leavingBackEndsGetNoNewRequests(t *testing.T, r *rig) {
	var both sync.WaitGroup
	var keyed, plain *loadCounts
	const length = 7 * time.Second
	both.Go(func() { keyed = r.load(length, http.MethodGet, "/k/x") })
	both.Go(func() { plain = r.load(length, http.MethodPost, "/p/x") })
	_ = pause.For(r.ctx, 500*time.Millisecond)
	r.instances[0].LeaveByAnswers()
	r.instances[2].LeaveByAnswers()
	both.Wait()
	r.checkPromises()
	served := float64(plain.served["i-3-1"]) / float64(plain.refused+plain.failed+plain.served["i-2-1"]+plain.served["i-3-1"])
	assert.Check(t, plain.refused+plain.failed == 0 && served > 0.5, "%+v", plain)
	assert.Check(t, keyed.served["i-1-1"] > keyed.served["i-0-1"], "the keys went to the other back end: %v", keyed.served)
}

func TestLeavingBackEndsGetNoNewRequestsWithoutALeader(t *testing.T) {
	byBoth(t, leavingBackEndsWithoutALeader)
}

func leavingBackEndsWithoutALeader(t *testing.T, r *rig) {
	for _, core := range r.Cores {
		core.Signal(syscall.SIGKILL)
	}
	var both sync.WaitGroup
	const length = 6 * time.Second
	both.Go(func() { r.load(length, http.MethodGet, "/k/x") })
	both.Go(func() { r.load(length, http.MethodPost, "/p/x") })
	_ = pause.For(r.ctx, 300*time.Millisecond)
	r.instances[0].LeaveByAnswers()
	r.instances[2].LeaveByAnswers()
	_ = pause.For(r.ctx, 2500*time.Millisecond)
	for _, side := range []*Machine{r.Sides[0], r.Sides[2]} {
		side.Signal(syscall.SIGKILL)
		assert.Check(t, side.Start())
	}
	both.Wait()
	r.checkPromises()
}
