package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/lab/faultproxy"
)

// TestGroupRecoversAfterConnectionsLoseBytes partitions the network until every
// connection has lost a message. From then on the proxies forward nothing on
// these connections, even after the partition has healed, and neither end sees
// them closed. If only one direction was cut, the other still works.
func TestGroupRecoversAfterConnectionsLoseBytes(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{
		"both directions": faultproxy.BlackHole(),
		"one direction":   faultproxy.Lose(faultproxy.Forward),
	} {
		t.Run(name, func(t *testing.T) { checkRecoveryAfter(t, faults) })
	}
}

func checkRecoveryAfter(t *testing.T, faults faultproxy.Faults) {
	g := newTestGroup(t, 3, nil)
	for id := range g.replicas {
		g.stop(id)
	}
	var proxies []*faultproxy.Proxy
	for id, config := range g.configs {
		proxy, err := faultproxy.Listen(faultproxy.Config{Listen: "127.0.0.1:0", Target: config.Listen})
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, proxy.Close()) })
		proxies = append(proxies, proxy)
		for position := range config.Peers {
			if config.Peers[position].ID == id {
				config.Peers[position].Address = proxy.Address() // shared by all configurations
			}
		}
	}
	for id, config := range g.configs {
		config.DataDir = t.TempDir()
		g.configs[id] = config
		g.start(id)
	}
	g.propose("before")
	for _, proxy := range proxies {
		assert.NilError(t, proxy.Set(faults))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for id, replica := range g.replicas {
			if replica.Status().Role != consensus.PreCandidate {
				return poll.Continue("replica %d has not yet asked the others for their votes", id)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, proxy := range proxies {
		proxy.Heal()
	}
	g.propose("after")
}
