package controller_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/admin"
	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/replica"
)

// operator runs "quartzdock admin" against a group of controllers.
type operator struct {
	t         *testing.T
	addresses string
}

func (g *group) operator() *operator {
	var addresses []string
	for _, address := range g.addrs {
		addresses = append(addresses, address.RPC)
	}
	return &operator{t: g.t, addresses: strings.Join(addresses, ",")}
}

func (o *operator) exec(ctx context.Context, arguments ...string) (string, error) {
	var out bytes.Buffer
	flags := []string{"--rpc.controllers", o.addresses, "--author", "ebba"}
	err := admin.Command(&out).ParseAndRun(ctx, append(flags, arguments...))
	return out.String(), err
}

// mustSucceed runs a command that must succeed and returns its output.
func (o *operator) mustSucceed(arguments ...string) string {
	o.t.Helper()
	out, err := o.exec(o.t.Context(), arguments...)
	assert.NilError(o.t, err, "%v: %s", arguments, out)
	return out
}

// mustFail runs a command that must fail with an error that contains reason.
func (o *operator) mustFail(reason string, arguments ...string) {
	o.t.Helper()
	out, err := o.exec(o.t.Context(), arguments...)
	assert.ErrorContains(o.t, err, reason, "%v: %s", arguments, out)
}

// runUntilMatch repeats a command until its output matches.
func (o *operator) runUntilMatch(pattern string, arguments ...string) string {
	o.t.Helper()
	var out string
	poll.WaitOn(o.t, func(poll.LogT) poll.Result {
		var err error
		out, err = o.exec(o.t.Context(), arguments...)
		if err == nil && regexp.MustCompile(pattern).MatchString(out) {
			return poll.Success()
		}
		return poll.Continue("%v: %s %v", arguments, out, err)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(20*time.Second))
	return out
}

func (o *operator) createBackend(number int) string {
	return o.mustSucceed("backend", "create", "wayfinder", backendName(number), "--agent-address", agentAddress(number),
		"--region", "se-west", "--zone", fmt.Sprint("hall-", number), "--slots", "20", "--connections", "100")
}

const serviceFile = "../../examples/service-wayfinder.yaml"

// smallServiceFile writes the example service with 8 shards, all of which may
// move at once, and returns the path of the file.
func smallServiceFile(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(serviceFile)
	assert.NilError(t, err)
	modified := strings.NewReplacer("initial_shards: 64", "initial_shards: 8", "moves_at_once: 2", "moves_at_once: 8").Replace(string(content))
	file := filepath.Join(t.TempDir(), "service.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(modified), 0o600))
	return file
}

func TestAdminCommandsOverServiceLifecycle(t *testing.T) {
	g := startGroup(t)
	g.waitForLeader()
	o := g.operator()
	file := smallServiceFile(t)
	f := &fixture{t: t, controllers: g.sessionAddresses()}

	assert.Assert(t, strings.Contains(o.mustSucceed("service", "create", file, "--dry-run"), "nothing was changed"))
	assert.Assert(t, !strings.Contains(o.mustSucceed("service", "list"), "wayfinder"))
	o.mustSucceed("service", "create", file, "--request-id", "first", "--expected-revision", "0")
	again := o.mustSucceed("service", "create", file, "--request-id", "first", "--expected-revision", "0")
	assert.Assert(t, strings.Contains(again, "already accepted"), again)
	o.mustFail("ebba made revision", "service", "update", file, "--expected-revision", "0")
	o.mustFail("with other content", "service", "update", file, "--request-id", "first", "--expected-revision", "0")
	listed := strings.ReplaceAll(o.mustSucceed("service", "list", "--json"), " ", "")
	for _, rule := range []string{`"non_repeatable":true`, `"path_prefix":"/edits/"`, `"POST"`} {
		assert.Assert(t, strings.Contains(listed, rule), "%s in %s", rule, listed)
	}

	for number := 1; number <= 2; number++ {
		o.createBackend(number)
		f.startAgent(number)
	}
	f.startRouter("router-1", g.addrs[0].Sessions)
	o.runUntilMatch(`backend-1 .* active +yes +4 (.|\n)*backend-2 .* active +yes +4 `, "backend", "list")
	assert.Equal(t, strings.Count(o.mustSucceed("shard", "list", "wayfinder", "--owner", "backend-2"), "backend-2"), 4)

	o.mustFail("drain it and wait", "backend", "remove", "wayfinder", "backend-1")
	o.mustSucceed("backend", "drain", "wayfinder", "backend-1", "--wait", "20s")
	o.runUntilMatch(`backend-1 .* draining +yes +0 `, "backend", "list")
	o.mustSucceed("backend", "activate", "wayfinder", "backend-1")
	o.mustSucceed("backend", "drain", "wayfinder", "backend-1")
	o.runUntilMatch("accepted", "backend", "remove", "wayfinder", "backend-1")

	explained := o.mustSucceed("explain", "key", "wayfinder", "gate-17")
	for _, part := range []string{"Requests go to back end backend-2", "EPOCH", "least utilised"} {
		assert.Assert(t, strings.Contains(explained, part), "%q in %s", part, explained)
	}
	assert.Assert(t, strings.Contains(o.mustSucceed("explain", "service", "wayfinder"), "backend-2"))
	o.mustSucceed("shift", "mark", "wayfinder", "--key", "gate-17", "--expected-slots", "3")
	assert.Assert(t, strings.Contains(o.mustSucceed("shift", "list", "--service", "wayfinder"), "ebba"))
	o.runUntilMatch(`router-1 (.|\n)*backend-2|backend-2 (.|\n)*router-1`, "subscribers")

	o.mustSucceed("backend", "drain", "wayfinder", "backend-2")
	o.mustSucceed("service", "delete", "wayfinder")
	assert.Assert(t, !strings.Contains(o.mustSucceed("backend", "list"), "backend-2"))
	revision := regexp.MustCompile(`at revision (\d+)`).FindStringSubmatch(o.mustSucceed("revision"))
	o.mustSucceed("wait", revision[1])
}

// TestWatchReportsEveryConfigurationChange starts no agent, so there are no
// ownership changes.
func TestWatchReportsEveryConfigurationChange(t *testing.T) {
	g := startGroup(t)
	g.waitForLeader()
	o := g.operator()
	o.mustSucceed("service", "create", serviceFile)
	ctx, cancel := context.WithCancel(t.Context())
	lines := make(chan string, 1)
	go func() {
		out, _ := o.exec(ctx, "watch", "--service", "wayfinder")
		lines <- out
	}()
	o.createBackend(1)
	o.createBackend(2)
	o.mustSucceed("backend", "drain", "wayfinder", "backend-2", "--wait", "20s")
	cancel()
	out := <-lines
	for _, part := range []string{"service wayfinder", "back end wayfinder/backend-1 active", "back end wayfinder/backend-2 draining"} {
		assert.Assert(t, strings.Contains(out, part), "%q in %s", part, out)
	}
}

func TestInvalidServiceListsAllViolationsAndChangesNothing(t *testing.T) {
	g := startGroup(t)
	g.waitForLeader()
	o := g.operator()
	file := filepath.Join(t.TempDir(), "service.yaml")
	content := "name: Way Finder\ninitial_shards: 0\nrules: [{methods: [get], key: {kind: KEY_SOURCE_KIND_QUERY}}]\n"
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	_, err := o.exec(t.Context(), "service", "create", file)
	for _, field := range []string{"service.name", "service.initial_shards", "service.rules[0].methods[0]", "service.rules[0].key.name"} {
		assert.ErrorContains(t, err, field)
	}
	assert.Assert(t, strings.Contains(o.mustSucceed("revision"), "configuration revision 0"))
}

// TestReplaceController adds a fourth controller as a learner, promotes it,
// removes and stops the original leader, and checks that the group still
// accepts changes.
func TestReplaceController(t *testing.T) {
	g := startGroup(t)
	index, _ := g.waitForLeader()
	o := g.operator()
	o.mustSucceed("service", "create", serviceFile)

	joined, incarnation := g.startJoiningMember()
	added := o.mustSucceed("controller", "add", incarnation,
		"--peer-address", g.joinedPeerAddress, "--session-address", joined.Sessions, "--rpc-address", joined.RPC)
	assert.Assert(t, strings.Contains(added, "replica 4, a learner"), added)
	o.runUntilMatch("accepted", "controller", "promote", "4")
	g.addrs = append(g.addrs, joined)
	removed := int(g.peers[index].ID)
	o.mustSucceed("controller", "remove", strconv.Itoa(removed))
	g.stop(index)
	o = g.operator()
	list := o.runUntilMatch(`the newest\n(.|\n)*\n4 +[0-9a-f]+ +yes`, "controller", "list")
	assert.Assert(t, !regexp.MustCompile(fmt.Sprintf(`\n%d `, removed)).MatchString(list), list)
	o.createBackend(1)
	assert.Assert(t, strings.Contains(o.mustSucceed("service", "list"), "wayfinder"))
}

// startJoiningMember starts a controller that does not belong to a group yet,
// and returns its addresses and the incarnation from its log.
func (g *group) startJoiningMember() (controller.Addresses, string) {
	g.t.Helper()
	log := &syncBuffer{}
	member, err := controller.Start(controller.Config{
		Group: 1, SessionListen: "127.0.0.1:0", RPCListen: "127.0.0.1:0",
		Log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelInfo})),
		Replicate: func(machine controller.StateMachine) (controller.Replicator, error) {
			started, err := controller.ReplicateOn(replica.Config{
				Group: 1, DataDir: g.t.TempDir(), Peers: g.peers, Listen: "127.0.0.1:0",
			})(machine)
			if err == nil {
				g.joinedPeerAddress = started.PeerAddress()
			}
			return started, err
		},
	})
	assert.NilError(g.t, err)
	g.members = append(g.members, member)
	logged := regexp.MustCompile(`controller serves.* incarnation=([0-9a-f]+)`).FindStringSubmatch(log.String())
	assert.Equal(g.t, len(logged), 2, "%s", log.String())
	return member.Addresses(), logged[1]
}

// syncBuffer is a buffer for log output of several goroutines.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(line)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}
