package simulate

import (
	"fmt"
	"slices"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Defect is a deliberate error that a simulation must catch.
type Defect string

// Defects of the controllers.
const (
	DefectAnswerBeforeSync Defect = "answer-before-sync"
	DefectVoteNotSynced    Defect = "vote-not-synced"
	DefectCopiedFolder     Defect = "copied-folder"
	DefectLostDiskIdentity Defect = "lost-disk-identity"
	DefectRepairEarly      Defect = "repair-early"
	DefectNoLeaderLease    Defect = "no-leader-lease"
	DefectNoSettling       Defect = "no-settling"
	DefectIgnoreSilent     Defect = "ignore-silent"
	DefectStaleWelcome     Defect = "stale-welcome"
	DefectForgetRequestIDs Defect = "forget-request-ids"
	DefectIgnoreExpected   Defect = "ignore-expected"
	DefectIgnoreDrain      Defect = "ignore-drain"
)

// Defects of agents, back ends and routers.
const (
	DefectLeaseFromReceipt Defect = "lease-from-receipt"
	DefectNoDriftBound     Defect = "no-drift-bound"
	DefectNoFence          Defect = "no-fence"
	DefectNoFenceAtCommit  Defect = "no-fence-at-commit"
	DefectReleaseEarly     Defect = "release-early"
	DefectRecordNotMoved   Defect = "record-not-moved"
	DefectRecordNotSynced  Defect = "record-not-synced"
	DefectTimeoutIsNotRun  Defect = "timeout-is-not-run"
	DefectStopAtOnce       Defect = "stop-at-once"
	DefectLateAnswers      Defect = "late-answers"
	DefectNeverStale       Defect = "never-stale"
	DefectAcceptOlder      Defect = "accept-older"
)

// DefectInfo describes a defect.
type DefectInfo struct {
	Name Defect `json:"name"`
	// Breaks is the promise that it breaks, perhaps among others.
	Breaks Promise `json:"breaks"`
	What   string  `json:"what"`
	// Plan is the built-in fault plan that shows it soonest.
	Plan string `json:"plan"`
}

// Defects lists all defects.
var Defects = []DefectInfo{
	{DefectAnswerBeforeSync, AcceptedSurvives, "a controller answers its peers before its write is synced", PlanElections},
	{DefectVoteNotSynced, AcceptedSurvives, "a controller forgets its term and vote over a restart", PlanElections},
	{DefectCopiedFolder, AcceptedSurvives, "a controller runs on an older copy of its data folder", PlanAll},
	{DefectLostDiskIdentity, AcceptedSurvives, "a controller that lost its disk keeps its identity", PlanAll},
	{DefectRepairEarly, Recovers, "a repair is reported done before the new member votes", PlanAll},
	{DefectNoLeaderLease, SingleOwner, "a leader acts without its leader lease", PlanAll},
	{DefectNoSettling, SingleOwner, "a new leader doesn't wait out its predecessor's leases", PlanAll},
	{DefectIgnoreSilent, InForce, "subscribers and controllers that are not heard count as having a revision in force", PlanAll},
	{DefectStaleWelcome, NoRevert, "a router is served by a controller that has not confirmed its state", PlanAll},
	{DefectForgetRequestIDs, OneWinner, "the answers to operators' requests are forgotten", PlanAll},
	{DefectIgnoreExpected, OneWinner, "the revision that an operator expects is ignored", PlanAll},
	{DefectIgnoreDrain, Drain, "back ends that drain are treated as active", PlanAll},
	{DefectLeaseFromReceipt, SingleOwner, "an agent counts its lease from the receipt of the answer", PlanAll},
	{DefectNoDriftBound, SingleOwner, "an agent allows for no drift of clocks", PlanAll},
	{DefectNoFence, SingleOwner, "a back end checks no grants", PlanAll},
	{DefectNoFenceAtCommit, SingleOwner, "a back end does not check its grant again before it keeps a write", PlanAll},
	{DefectReleaseEarly, SingleOwner, "an agent promises to serve no more while requests run", PlanAll},
	{DefectRecordNotMoved, AtMostOnce, "the record of request ids does not move with the shard", PlanAll},
	{DefectRecordNotSynced, AtMostOnce, "the record of request ids is not synced", PlanAll},
	{DefectTimeoutIsNotRun, NotRunIsTrue, "a missing answer is reported as not run", PlanAll},
	{DefectStopAtOnce, PlannedStop, "a planned stop doesn't wait for requests in progress", PlanAll},
	{DefectLateAnswers, WholeAnswer, "an answer that comes after its attempt was given up goes to the next request", PlanAll},
	{DefectNeverStale, InForce, "a router relies on its routing data however old", PlanAll},
	{DefectAcceptOlder, NoRevert, "a process takes an older snapshot, from a controller that has not confirmed its state", PlanAll},
}

// FindDefect returns a defect by name.
func FindDefect(name string) (Defect, error) {
	index := slices.IndexFunc(Defects, func(info DefectInfo) bool { return string(info.Name) == name })
	if index < 0 {
		return "", fmt.Errorf("no defect %q; --defects lists them", name)
	}
	return Defects[index].Name, nil
}

// evaluateIgnoringDrain is placement that takes every back end for active.
func evaluateIgnoringDrain(input placement.Input) placement.Decision {
	backends := slices.Clone(input.Backends)
	for i := range backends {
		backends[i].Backend.State = topology.BackendActive
		backends[i].Leaving = false
	}
	input.Backends = backends
	return placement.Evaluate(input)
}
