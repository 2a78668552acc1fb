package platformstandin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// program is the binary that the deploy file's build line makes.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "platform")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "quartzdock-node")
	build := exec.Command("go", "build", "-o", program, "../../platform/cmd/quartzdock-node")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

const configuration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"a.example","ruleSet":[{"name":"keyed","routeType":"safe","targetLatency":"900ms","priority":2,"match":{"pathPrefix":"/k/"},"action":{"service":"keyed","timeout":"2500ms","attempts":2}},` +
	`{"name":"plain","routeType":"unsafe","targetLatency":"900ms","priority":1,"match":{"pathPrefix":"/p/"},"action":{"trafficSplit":[{"service":"plain","weight":1}],"timeout":"2500ms","attempts":2}}]}],` +
	`"clusters":[{"name":"keyed","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"call"},` +
	`{"name":"plain","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false}]}`

// rig is a fleet with back ends, configured and ready.
type rig struct {
	*Fleet
	t         *testing.T
	ctx       context.Context
	instances []*Instance
	next      int
	// grants is how the keyed back ends get their keys, in the platform's word.
	grants string
}

// byBoth runs a test with either way of granting keys.
func byBoth(t *testing.T, test func(*testing.T, *rig)) {
	for _, grants := range []string{"call", "heartbeat"} {
		t.Run(grants, func(t *testing.T) { test(t, newRigWith(t, grants)) })
	}
}

func newRig(t *testing.T) *rig { return newRigWith(t, "call") }

// configuration returns one that builds on another.
func (r *rig) configuration(version, base int) string {
	return strings.Replace(fmt.Sprintf(configuration, version, base), `"grants":"call"`, `"grants":"`+r.grants+`"`, 1)
}

func newRigWith(t *testing.T, grants string) *rig {
	fleet, err := NewFleet(program, t.TempDir(), 3, []string{"keyed", "keyed", "plain", "plain"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	r := &rig{Fleet: fleet, t: t, ctx: ctx, grants: grants}
	t.Cleanup(func() {
		cancel()
		fleet.Stop()
		for _, instance := range r.instances {
			instance.Stop()
		}
		if t.Failed() {
			for _, machine := range append(fleet.Cores, fleet.Sides...) {
				t.Logf("%s: %s", machine.Name, machine.Log())
			}
		}
	})
	for _, machine := range append(append([]*Machine{}, fleet.Cores...), fleet.Sides...) {
		assert.NilError(t, machine.Start())
	}
	for i, side := range fleet.Sides {
		r.startInstance(i, side, 1)
	}
	status, err := fleet.Operate(ctx, "/config/put", r.configuration(5, 0))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	for _, side := range fleet.Sides {
		r.waitServed(side)
	}
	return r
}

func (r *rig) startInstance(i int, side *Machine, life int) *Instance {
	instance := &Instance{
		ID: fmt.Sprintf("i-%d-%d", i, life), Service: side.Service, Keyed: side.Service == "keyed", Control: side.Control(), Slots: 8,
		ByHeartbeat: r.grants == "heartbeat",
	}
	assert.NilError(r.t, StartInstance(r.ctx, r.Ledger, side.App(), instance))
	r.instances = append(r.instances, instance)
	return instance
}

// call sends an attempt with an id of its own, keyed ones to a key that depends
// on it.
func (r *rig) call(side *Machine, method, path string) (Answer, string) {
	r.next++
	id := fmt.Sprintf("request-%d", r.next)
	answer, err := side.Call(r.ctx, method, "a.example", path, id, fmt.Sprint(r.next*7919%65536), "body")
	if err != nil {
		return Answer{}, id
	}
	return answer, id
}

// waitServed waits until a machine's callers are served on every route.
func (r *rig) waitServed(side *Machine) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		for _, request := range [][2]string{{http.MethodGet, "/k/x"}, {http.MethodGet, "/k/y"}, {http.MethodGet, "/k/z"}, {http.MethodPost, "/p/x"}} {
			if answer, _ := r.call(side, request[0], request[1]); answer.Status != http.StatusOK {
				return poll.Continue("%s: %s: %d %s", side.Name, request[1], answer.Status, answer.Body)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}

func (r *rig) checkPromises() {
	r.t.Helper()
	assert.Equal(r.t, strings.Join(r.Ledger.Violations(), "\n"), "")
}

func TestACalmRun(t *testing.T) { byBoth(t, calmRun) }

func calmRun(t *testing.T, r *rig) {
	for i := range 400 {
		side := r.Sides[i%len(r.Sides)]
		method, path := http.MethodGet, "/k/a%2Fb?q=1"
		if i%2 == 0 {
			method, path = http.MethodPost, "/p/x"
		}
		answer, id := r.call(side, method, path)
		assert.Equal(t, answer.Status, http.StatusOK, "%s", answer.Body)
		assert.Equal(t, answer.Header.Get("Response-Seal"), "seal-"+id)
		assert.Equal(t, answer.Header.Get("Request-Id"), id)
		fields := strings.Fields(answer.Body)
		assert.Equal(t, fields[2], path, "the path goes on unaltered")
		assert.Equal(t, fields[3], side.Service, "the caller's service is that of its machine")
		assert.Equal(t, r.Ledger.Runs(id), 1)
	}
	missing, _ := r.call(r.Sides[0], http.MethodGet, "/nowhere/")
	assert.Equal(t, missing.Status, http.StatusNotFound)
	r.checkPromises()
}

func TestConfigurationsByOperators(t *testing.T) {
	r := newRig(t)
	patch := `{"version":8,"upsert":{"listeners":[{"host":"b.example","ruleSet":[{"name":"new","routeType":"safe","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/n/"},"action":{"service":"plain","timeout":"1200ms","attempts":2}}]}]},"remove":{"routes":["keyed"]},"baseVersion":5}`
	for range 2 { // sent again, it is acknowledged again
		status, err := r.Operate(r.ctx, "/config/patch", patch)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	for body, want := range map[string]int{
		fmt.Sprintf(configuration, 9, 5):                                                 http.StatusPreconditionFailed,
		fmt.Sprintf(configuration, 8, 8):                                                 http.StatusBadRequest,
		fmt.Sprintf(configuration, 9, 8)[:200]:                                           http.StatusBadRequest,
		strings.ReplaceAll(fmt.Sprintf(configuration, 9, 8), `"weight":1`, `"weight":0`): http.StatusBadRequest,
	} {
		status, err := r.Operate(r.ctx, "/config/put", body)
		assert.NilError(t, err)
		assert.Equal(t, status, want, "%s", body)
	}
	content, err := r.Configuration(r.ctx)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(content, `"version":8`) && strings.Contains(content, `"name":"new"`) && !strings.Contains(content, `"name":"keyed","routeType"`), "%s", content)
	for _, side := range r.Sides {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			added, err := side.Call(r.ctx, http.MethodGet, "b.example", "/n/x", "n", "", "")
			dropped, _ := r.call(side, http.MethodGet, "/k/x")
			if err == nil && added.Status == http.StatusOK && dropped.Status == http.StatusNotFound {
				return poll.Success()
			}
			return poll.Continue("added %d, dropped %d", added.Status, dropped.Status)
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// votes is a leader's word that a member was made a voter.
var votes = regexp.MustCompile(`"msg":"member admitted".*"error":null`)

// The leader is killed, all controllers are killed, and one disk is lost: what
// was acknowledged stays and keys keep one owner.
func TestControllersAreLost(t *testing.T) { byBoth(t, controllersAreLost) }

func controllersAreLost(t *testing.T, r *rig) {
	for _, core := range r.Cores {
		core.Signal(syscall.SIGKILL)
	}
	for _, side := range r.Sides {
		answer, _ := r.call(side, http.MethodGet, "/k/x")
		assert.Equal(t, answer.Status, http.StatusOK, "service goes on without controllers: %s", answer.Body)
	}
	assert.NilError(t, os.RemoveAll(r.Cores[0].DataDir()))
	for _, core := range r.Cores {
		assert.NilError(t, core.Start())
	}
	status, err := r.Operate(r.ctx, "/config/put", r.configuration(7, 5))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	// The machine with the empty disk votes again: another may be lost. Its own
	// word, "admitted to the group", comes when it is a learner as yet; a leader
	// that is killed then leaves one voter of two.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, core := range r.Cores {
			if votes.MatchString(core.Log()) {
				return poll.Success()
			}
		}
		return poll.Continue("not admitted as a voter")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(50*time.Millisecond))
	r.Cores[1].Signal(syscall.SIGKILL)
	status, err = r.Operate(r.ctx, "/config/put", r.configuration(9, 7))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	r.checkPromises()
}

// An owner drains, another crashes and comes back, a gateway is restarted.
func TestBackEndsAndGatewaysComeAndGo(t *testing.T) { byBoth(t, backEndsAndGatewaysComeAndGo) }

func backEndsAndGatewaysComeAndGo(t *testing.T, r *rig) {
	r.instances[0].Drain()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.instances[0].holdsAny(heldRange{first: 0, last: 65535}) {
			return poll.Continue("still holds keys")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
	r.waitServed(r.Sides[2])
	r.instances[0].Stop()
	r.startInstance(0, r.Sides[0], 2)
	r.instances[1].Stop()
	r.waitServed(r.Sides[2])
	r.startInstance(1, r.Sides[1], 2)
	r.waitServed(r.Sides[3])
	r.Sides[2].Signal(syscall.SIGTERM)
	answer, _ := r.call(r.Sides[3], http.MethodPost, "/p/x")
	assert.Equal(t, answer.Status, http.StatusOK, "%s", answer.Body)
	assert.NilError(t, r.Sides[2].Start())
	r.waitServed(r.Sides[2])
	r.checkPromises()
}

// An owner's process ends while nobody asks for its keys: nothing but its silence
// tells of it.
func TestAnOwnerEndsUnasked(t *testing.T) { byBoth(t, anOwnerEndsUnasked) }

func anOwnerEndsUnasked(t *testing.T, r *rig) {
	r.instances[1].Stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.instances[0].holdsAny(heldRange{first: 65535, last: 65535}) {
			return poll.Success()
		}
		return poll.Continue("its keys were not given to the other back end")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
	r.waitServed(r.Sides[3])
	r.checkPromises()
}
