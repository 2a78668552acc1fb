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

// deafHolder is a back end that answers no order until the test is over, also
// where the caller gives up.
type deafHolder struct {
	called chan struct{}
	over   chan struct{}
}

func (h *deafHolder) answerNothing() {
	select {
	case h.called <- struct{}{}:
	default:
	}
	<-h.over
}

func (h *deafHolder) Grant(context.Context, GrantOrder) error {
	h.answerNothing()
	return nil
}

func (h *deafHolder) Release(context.Context, ReleaseOrder) (string, error) {
	h.answerNothing()
	return "", nil
}

// The goroutine that Stop waits for ends though the back end answers no order.
func TestKeysEndThoughTheBackEndIsDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &deafHolder{called: make(chan struct{}, 1), over: make(chan struct{})}
		defer close(holder.over)
		g := &Gateway{config: Config{Keys: holder}.withDefaults()}
		g.metrics = newGatewayMetrics(g.config.Registry)
		g.views = newViews()
		g.registry = newRegistry(func() {})
		g.session = newSessionClient(g)
		g.keys = newKeyKeeper(g)
		g.registry.heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
		ctx, cancel := context.WithCancel(t.Context())
		g.background(func() { g.keys.run(ctx) })
		held := fleetwire.Held{Keys: keyspace.Range{First: 0, Last: 9}, Fence: 1}
		g.keys.take(&fleetwire.Lease{Instance: "i-1", Duration: time.Minute, Held: []fleetwire.Held{held}}, steady.Reading())
		<-holder.called
		began := steady.Reading()
		cancel()
		g.ended.Wait()
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}
