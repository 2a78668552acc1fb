package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// unresponsiveHolder is a back end that responds to no grant or release order until the test is
// over, even if the caller gives up.
type unresponsiveHolder struct {
	called   chan struct{}
	testDone chan struct{}
}

func (h *unresponsiveHolder) block() {
	select {
	case h.called <- struct{}{}:
	default:
	}
	<-h.testDone
}

func (h *unresponsiveHolder) Grant(context.Context, GrantOrder) error {
	h.block()
	return nil
}

func (h *unresponsiveHolder) Release(context.Context, ReleaseOrder) (string, error) {
	h.block()
	return "", nil
}

// Stop waits for the key goroutine, which must end even if the back end never responds to an
// order.
func TestKeyGoroutineEndsDespiteUnresponsiveBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &unresponsiveHolder{called: make(chan struct{}, 1), testDone: make(chan struct{})}
		defer close(holder.testDone)
		g := &Gateway{config: Config{Keys: holder}.withDefaults()}
		g.metrics = newGatewayMetrics(g.config.Registry)
		g.views = newViewStore()
		g.registry = newRegistry(func() {})
		g.session = newSessionClient(g)
		g.quotas = newQuotaKeeper(g)
		g.keys = newGrantManager(g)
		g.registry.heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
		ctx, cancel := context.WithCancel(t.Context())
		g.background(func() { g.keys.run(ctx) })
		held := fleetwire.Held{Keys: keyspace.Range{First: 0, Last: 9}, Fence: 1}
		g.keys.applyLease(&fleetwire.Lease{Instance: "i-1", Duration: time.Minute, Held: []fleetwire.Held{held}}, steady.Reading())
		<-holder.called
		began := steady.Reading()
		cancel()
		g.goroutines.Wait()
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}
