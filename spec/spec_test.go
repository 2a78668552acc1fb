// Package spec_test checks the Promela models of this folder with spin: each
// model as it is, which must hold within its bounds, and each model with one
// deliberate defect, which the checker must catch.
package spec_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// searchLimit bounds one search, as a guard against bounds set too wide. Searches take
// minutes where other work has the cores.
const searchLimit = 25 * time.Minute

// searchesAtOnce bounds the searches that run side by side; each takes a core
// and up to a gigabyte.
const searchesAtOnce = 3

// check is one search of a model's states within bounds.
type check struct {
	name  string
	model string
	// bounds are macros of the model; short ones replace them in a short test.
	bounds, short []string
	// defects are macros that break the model, each by itself, within bounds.
	defects []string
}

// Bounds that several checks of consensus.pml share.
var (
	threeFounders = []string{"N=3", "SPARE=255", "CHANGES=0", "LOSSES=0"}
	fourFounders  = []string{"FOUNDERS=15", "SPARE=255", "LOSSES=0", "CRASHES=0", "HIGHEST_ASKED=highest"}
	lostDisks     = []string{"LOSSES=2", "CHANGES=3", "CRASHES=0", "HIGHEST_ASKED=highest"}
)

// Bounds that several checks of ownership.pml share.
var (
	noMishaps    = []string{"RESTARTS=0", "TIMEOUTS=0", "GIVE_UPS=0", "ELECTIONS=0"}
	lossesOnly   = []string{"MOVES=0", "REVISIONS=2"}
	plannedMoves = []string{"LOSSES=0", "DRIFT=0", "REVISIONS=3"}
)

var checks = []check{
	{
		name:   "elections and restarts",
		model:  "consensus.pml",
		bounds: bounds(threeFounders, "TERMS=3", "LOG=3", "ELECTIONS=3", "CRASHES=1"),
		short:  bounds(threeFounders, "TERMS=2", "LOG=2", "ELECTIONS=3", "CRASHES=1"),
		defects: []string{
			"VOTE_NOT_SYNCED", "VOTE_IGNORES_LOG", "LEADER_COUNTS_UNSYNCED",
			"ACKNOWLEDGES_BEFORE_SYNC", "APPENDS_WITHOUT_MATCH",
		},
	},
	{
		name:    "entries of earlier terms",
		model:   "consensus.pml",
		bounds:  bounds(threeFounders, "TERMS=4", "LOG=2", "ELECTIONS=4", "CRASHES=0"),
		short:   bounds(threeFounders, "TERMS=3", "LOG=2", "ELECTIONS=3", "CRASHES=0"),
		defects: []string{"COMMITS_EARLIER_TERM"},
	},
	{
		name:    "commands and restarts",
		model:   "consensus.pml",
		bounds:  bounds(threeFounders, "TERMS=3", "LOG=2", "ELECTIONS=3", "CRASHES=1", "COMMANDS=1"),
		short:   bounds(threeFounders, "TERMS=2", "LOG=2", "ELECTIONS=3", "CRASHES=1", "COMMANDS=1"),
		defects: []string{"ACKNOWLEDGES_WHOLE_LOG"},
	},
	{
		name:    "membership changes of two leaders",
		model:   "consensus.pml",
		bounds:  bounds(fourFounders, "TERMS=3", "LOG=2", "ELECTIONS=3", "CHANGES=2"),
		short:   bounds(fourFounders, "TERMS=2", "LOG=2", "ELECTIONS=2", "CHANGES=2"),
		defects: []string{"CHANGE_BEFORE_TERM_COMMITTED"},
	},
	{
		name:    "membership changes in a row",
		model:   "consensus.pml",
		bounds:  bounds(fourFounders, "TERMS=2", "LOG=4", "ELECTIONS=2", "CHANGES=3"),
		short:   bounds(fourFounders, "TERMS=2", "LOG=3", "ELECTIONS=2", "CHANGES=2"),
		defects: []string{"TWO_CHANGES_AT_ONCE"},
	},
	{
		name:    "lost disks and repair",
		model:   "consensus.pml",
		bounds:  bounds(lostDisks, "TERMS=2", "LOG=4", "ELECTIONS=3"),
		short:   bounds(lostDisks, "TERMS=1", "LOG=4", "ELECTIONS=1"),
		defects: []string{"LOST_DISK_KEEPS_IDENTITY", "REPAIR_REPORTED_EARLY", "LEARNER_COUNTS"},
	},
	{
		name:   "losses and planned moves",
		model:  "ownership.pml",
		bounds: bounds(noMishaps, "REVISIONS=3"),
		short:  bounds(noMishaps, "REVISIONS=2"),
		defects: []string{
			"ASSIGNS_BEFORE_LEASE_ENDS", "NO_DRIFT_MARGIN", "LEASE_COUNTS_FROM_RECEIPT",
			"RENEWS_WHILE_ASSIGNING", "RENEWS_STALE_HOLDER", "GRANT_COUNTS_FROM_RECEIPT",
			"WRITES_WITHOUT_FENCE", "PROMISES_BEFORE_REVOCATION",
		},
	},
	{
		name:    "leases given up while the leader changes",
		model:   "ownership.pml",
		bounds:  bounds(lossesOnly, "RESTARTS=0", "TIMEOUTS=0", "GIVE_UPS=1", "ELECTIONS=1"),
		short:   bounds(lossesOnly, "RESTARTS=0", "TIMEOUTS=0", "GIVE_UPS=1", "ELECTIONS=0"),
		defects: []string{"NEW_LEADER_DOES_NOT_WAIT", "DEPOSED_LEADER_GRANTS", "RELEASES_LEASE_EARLY", "LATE_ANSWER_TAKEN"},
	},
	{
		name:    "a restarted agent and a change of leader",
		model:   "ownership.pml",
		bounds:  bounds(lossesOnly, "DRIFT=0", "RESTARTS=1", "TIMEOUTS=0", "GIVE_UPS=0", "ELECTIONS=1"),
		short:   bounds(lossesOnly, "DRIFT=0", "RESTARTS=1", "TIMEOUTS=0", "GIVE_UPS=0", "ELECTIONS=0"),
		defects: []string{"RESTART_FORGETS_GRANTS"},
	},
	{
		name:    "a restarted agent during a planned move",
		model:   "ownership.pml",
		bounds:  bounds(plannedMoves, "RESTARTS=1", "TIMEOUTS=0", "GIVE_UPS=0", "ELECTIONS=0"),
		short:   bounds(plannedMoves, "RESTARTS=0", "TIMEOUTS=0", "GIVE_UPS=0", "ELECTIONS=0"),
		defects: []string{"FORGETS_UNANSWERED_GRANT", "FIRST_TABLE_IS_OLD"},
	},
	{
		name:    "a frozen back end during a planned move",
		model:   "ownership.pml",
		bounds:  bounds(plannedMoves, "RESTARTS=0", "TIMEOUTS=1", "GIVE_UPS=0", "ELECTIONS=0"),
		short:   bounds(plannedMoves, "RESTARTS=0", "TIMEOUTS=1", "GIVE_UPS=0", "ELECTIONS=0"),
		defects: []string{"OVERTAKEN_MESSAGE_TAKEN"},
	},
	{
		name:    "moves that are given up",
		model:   "ownership.pml",
		bounds:  bounds(noMishaps, "LOSSES=0", "DRIFT=0", "REVISIONS=5"),
		short:   bounds(noMishaps, "LOSSES=0", "DRIFT=0", "REVISIONS=4"),
		defects: []string{"RELEASED_OF_ANY_EPOCH"},
	},
	{
		name:    "lives of a back end under one id",
		model:   "lives.pml",
		bounds:  []string{"LIVES=4", "RESTARTS=2"},
		short:   []string{"LIVES=3", "RESTARTS=1"},
		defects: []string{"NOTHING_TAKEN_BACK", "FORGETS_EARLIER_GRANTS", "ENDS_WITH_GRANT_ON_ITS_WAY"},
	},
	{
		name:    "lives of a back end that gets its keys by heartbeat",
		model:   "lives.pml",
		bounds:  []string{"LIVES=4", "RESTARTS=2", "BY_HEARTBEAT=1"},
		short:   []string{"LIVES=3", "RESTARTS=1", "BY_HEARTBEAT=1"},
		defects: []string{"FIRST_BEAT_BELIEVED"},
	},
	{
		name:   "a process that only looks dead",
		model:  "lookalike.pml",
		bounds: []string{"RESTARTS=0", "ELECTIONS=0"},
		short:  []string{"RESTARTS=0", "ELECTIONS=0"},
		defects: []string{
			"REFUSAL_ENDS_HOLD", "NEXT_LIFE_ENDS_HOLD", "ENDS_WITH_ORDER_ON_ITS_WAY",
			"RELEASE_BY_ANYONE", "GRANT_TAKEN_BY_ANYONE", "HOLD_COUNTS_FROM_SENDING",
			"UNANSWERED_OVER_BY_TIME", "COVER_FORGETS_UNANSWERED", "NO_MARGIN",
			"REVIVED_KEEPS_LEASE", "COVER_AFTER_PROPOSAL", "PROMISE_OUTLIVES_LEASE", "OWN_OLD_SESSION_BELIEVED",
		},
	},
	{
		name:   "elections where all have started anew",
		model:  "unled.pml",
		bounds: []string{"ASKERS=2", "ROUNDS=2"},
		short:  []string{"ASKERS=1", "ROUNDS=2"},
		defects: []string{
			"MAJORITY_IS_ENOUGH", "EARLIER_ROUNDS_COUNT", "ANY_PROCESS_ANSWERS", "ANY_PROCESS_VOTES", "VOTER_HAS_HEARD_A_LEADER",
		},
	},
	{
		name:    "seats of controllers whose machines are replaced in turn",
		model:   "seats.pml",
		bounds:  []string{"SEATS=5", "LOSSES=4"},
		short:   []string{"SEATS=3", "LOSSES=4"},
		defects: []string{"FURTHER_SEATS", "UNHEARD_VOTER_IS_PRESENT"},
	},
	{
		name:    "seats of controllers of which two are lost at once, and come back with their disks or without",
		model:   "seats.pml",
		bounds:  []string{"SEATS=5", "LOSSES=3", "TOLERATED=2"},
		short:   []string{"SEATS=5", "LOSSES=2", "TOLERATED=2"},
		defects: []string{"SEAT_IS_GIVEN_UP"},
	},
	{
		name:    "a process that only looks dead, beside restarts and changes of leader",
		model:   "lookalike.pml",
		bounds:  []string{"RESTARTS=1", "ELECTIONS=1"},
		short:   []string{"RESTARTS=1", "ELECTIONS=1", "HOLD=1", "LEASE=2"},
		defects: []string{"RESTART_FORGETS_GRANTS", "RESTART_WAITS_FOR_HOLD_ONLY"},
	},
	{
		name:    "a process that only looks dead, beside restarts",
		model:   "lookalike.pml",
		bounds:  []string{"RESTARTS=1", "ELECTIONS=0", "HOLD=1", "LEASE=2"},
		short:   []string{"RESTARTS=1", "ELECTIONS=0", "HOLD=1", "LEASE=2"},
		defects: []string{"OLD_SESSION_BELIEVED"},
	},
	{
		name:   "a process that only looks dead and gets its keys by heartbeat",
		model:  "lookalike.pml",
		bounds: []string{"BY_HEARTBEAT=1", "RESTARTS=1", "ELECTIONS=0"},
		short:  []string{"BY_HEARTBEAT=1", "RESTARTS=0", "ELECTIONS=0"},
		defects: []string{
			"REFUSAL_ENDS_HOLD", "NEXT_LIFE_ENDS_HOLD", "REVIVED_KEEPS_LEASE", "RESTART_FORGETS_GRANTS",
			"ANSWER_COUNTS_FROM_TAKING", "ANY_BEAT_WITHOUT_KEYS_BELIEVED",
		},
	},
}

func bounds(common []string, more ...string) []string {
	return append(append([]string(nil), common...), more...)
}

func TestModelsHold(t *testing.T) {
	tools := requireTools(t)
	for _, check := range checks {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			macros := check.bounds
			if testing.Short() {
				macros = check.short
			}
			found := tools.search(t, check.model, macros)
			assert.Assert(t, !found.violated, "with %v: %s", macros, found.output)
			t.Logf("%s states", found.states)
		})
	}
}

func TestDefectsAreCaught(t *testing.T) {
	tools := requireTools(t)
	for _, check := range checks {
		for _, defect := range check.defects {
			t.Run(defect, func(t *testing.T) {
				t.Parallel()
				macros := bounds(check.bounds, defect)
				found := tools.search(t, check.model, macros)
				assert.Assert(t, found.violated, "with %v: %s", macros, found.output)
				t.Logf("%s after %s states", found.violation, found.states)
			})
		}
	}
}

// tools are the programs a search needs.
type tools struct {
	spin, compiler string
	slots          chan struct{}
}

func requireTools(t *testing.T) *tools {
	t.Helper()
	spin, err := exec.LookPath("spin")
	assert.NilError(t, err, "spin is missing: run .ci/install-tools, or apt-get install spin")
	compiler, err := exec.LookPath("cc")
	if err != nil {
		compiler, err = exec.LookPath("gcc")
	}
	assert.NilError(t, err, "a C compiler is missing: run .ci/install-tools, or apt-get install gcc libc6-dev")
	return &tools{spin: spin, compiler: compiler, slots: make(chan struct{}, searchesAtOnce)}
}

// result is what a search found.
type result struct {
	violated  bool
	violation string
	states    string
	output    string
}

var (
	statesPattern    = regexp.MustCompile(`(\S+) states, stored`)
	errorsPattern    = regexp.MustCompile(`errors: (\d+)`)
	violationPattern = regexp.MustCompile(`pan:1: (.*) \(at depth`)
	// incomplete marks a search that left states out.
	incomplete = []string{"max search depth too small", "out of memory", "error: "}
)

// search makes spin's checker of the model with macros and runs it to its end
// or the first violation. States are told apart by 64 bits of hash (-DHC4).
func (tools *tools) search(t *testing.T, model string, macros []string) result {
	t.Helper()
	tools.slots <- struct{}{}
	defer func() { <-tools.slots }()
	source, err := os.ReadFile(model)
	assert.NilError(t, err)
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, model), source, 0o600))
	generate := []string{"-a"}
	for _, macro := range macros {
		generate = append(generate, "-D"+macro)
	}
	run(t, folder, tools.spin, append(generate, model)...)
	run(t, folder, tools.compiler, "-O1", "-w", "-DSAFETY", "-DHC4", "-DMEMLIM=3000", "-o", "pan", "pan.c")
	output := run(t, folder, "./pan", "-m1000000")
	for _, mark := range incomplete {
		assert.Assert(t, !strings.Contains(output, mark), "the search is incomplete: %s", output)
	}
	count := errorsPattern.FindStringSubmatch(output)
	assert.Assert(t, count != nil, "no verdict: %s", output)
	return result{
		violated:  count[1] != "0",
		violation: firstGroup(violationPattern, output),
		states:    firstGroup(statesPattern, output),
		output:    output,
	}
}

func firstGroup(pattern *regexp.Regexp, text string) string {
	if match := pattern.FindStringSubmatch(text); match != nil {
		return match[1]
	}
	return ""
}

func run(t *testing.T, folder, program string, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), searchLimit)
	defer cancel()
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = folder
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	err := command.Run()
	assert.NilError(t, err, "%s %v: %s", filepath.Base(program), arguments, &output)
	return output.String()
}
