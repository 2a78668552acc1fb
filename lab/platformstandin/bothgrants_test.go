package platformstandin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// twoKeyed has a service whose back ends are called about their keys, and one whose
// back ends get them by heartbeat.
const twoKeyed = `{"version":5,"baseVersion":0,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"listeners":[{"host":"a.example","ruleSet":[{"name":"c","routeType":"safe","targetLatency":"900ms","priority":2,"match":{"pathPrefix":"/c/"},"action":{"service":"called","timeout":"2500ms","attempts":2}},` +
	`{"name":"b","routeType":"safe","targetLatency":"900ms","priority":2,"match":{"pathPrefix":"/b/"},"action":{"service":"beating","timeout":"2500ms","attempts":2}}]}],` +
	`"clusters":[{"name":"called","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"call"},` +
	`{"name":"beating","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"heartbeat"}]}`

// Both ways of granting keys serve side by side in one deployment; a back end of
// each leaves, and its keys find the other one.
func TestBothWaysOfGrantingKeysServeSideBySide(t *testing.T) {
	fleet, err := NewFleet(program, t.TempDir(), 3, []string{"called", "called", "beating", "beating"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	t.Cleanup(fleet.Stop)
	for _, machine := range append(append([]*Machine{}, fleet.Cores...), fleet.Sides...) {
		assert.NilError(t, machine.Start())
	}
	var instances []*Instance
	for i, side := range fleet.Sides {
		instance := &Instance{
			ID: fmt.Sprint("i-", i), Service: side.Service, Machine: side.Name, Keyed: true, ByHeartbeat: side.Service == "beating",
			Control: side.Control(), Slots: 8,
		}
		assert.NilError(t, StartInstance(ctx, fleet.Ledger, side.App(), instance))
		t.Cleanup(instance.Stop)
		instances = append(instances, instance)
	}
	status, err := fleet.Operate(ctx, "/config/put", twoKeyed)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	next := 0
	served := func(poll.LogT) poll.Result {
		for _, path := range []string{"/c/x", "/b/x"} {
			for _, key := range []string{"1", "16000", "33000", "49000", "65535"} {
				next++
				answer, err := fleet.Sides[next%len(fleet.Sides)].Call(ctx, http.MethodGet, "a.example", path, fmt.Sprint("r-", next), key, "")
				if err != nil || answer.Status != http.StatusOK {
					return poll.Continue("%s, key %s: %d %v", path, key, answer.Status, err)
				}
			}
		}
		return poll.Success()
	}
	poll.WaitOn(t, served, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
	for _, leaving := range []*Instance{instances[0], instances[2]} {
		leaving.Drain()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if leaving.holdsAny(heldRange{first: 0, last: 65535}) {
				return poll.Continue("%s still holds keys", leaving.ID)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
		leaving.Stop()
	}
	poll.WaitOn(t, served, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
	assert.Equal(t, strings.Join(fleet.Ledger.Violations(), "\n"), "")
}
