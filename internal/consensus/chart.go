package consensus

import (
	"embed"

	"github.com/quartzdock/quartzdock/internal/statechart"
)

//go:embed replica.chart
var chartFiles embed.FS

// Role is a replica's role in its group, a state of replica.chart.
type Role = statechart.State

// Roles, in the order of roleNames.
const (
	NonVoter Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// Events, in the order of eventNames.
const (
	eventPromoted statechart.Event = iota
	eventDemoted
	eventElectionTimeout
	eventPreVoteWon
	eventVoteWon
	eventVoteLost
	eventLeaderHeard
	eventQuorumLost
	eventTransferRequested
)

// Actions, in the order of actionNames, after statechart.NoAction.
const (
	actionFollow statechart.Action = iota + 1
	actionStartPreVote
	actionStartVote
	actionBeginLeading
	actionStopLeading
)

var (
	roleNames  = []string{"non_voter", "follower", "pre_candidate", "candidate", "leader"}
	eventNames = []string{
		"promoted", "demoted", "election_timeout", "pre_vote_won", "vote_won", "vote_lost",
		"leader_heard", "quorum_lost", "transfer_requested",
	}
	actionNames = []string{"follow", "start_pre_vote", "start_vote", "begin_leading", "stop_leading"}

	roleTable = statechart.MustLoad(chartFiles, "replica.chart").MustBind(roleNames, eventNames, actionNames)
)

// RoleName returns a role's name as in replica.chart.
func RoleName(role Role) string { return roleNames[role] }

// fire makes the chart's transition for the event and runs its action. It
// returns false if the current role has no transition for the event.
func (c *Core) fire(event statechart.Event) bool {
	next, action, ok := roleTable.Next(c.role, event)
	if !ok {
		return false
	}
	c.role = next
	switch action {
	case actionFollow:
		c.follow()
	case actionStartPreVote:
		c.startPreVote()
	case actionStartVote:
		c.startVote()
	case actionBeginLeading:
		c.beginLeading()
	case actionStopLeading:
		c.stopLeading()
	}
	return true
}
