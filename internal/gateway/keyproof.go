package gateway

import "github.com/quartzdock/quartzdock/internal/keyspace"

// proof is what it rests on that keys may go to another owner.
type proof string

// Proofs.
const (
	// proofTimeOver: the time of all that was granted has run out.
	proofTimeOver proof = "time-over"
	// proofEarlierOver: the same of what lives before the instance, or earlier processes of
	// this gateway, were granted.
	proofEarlierOver proof = "earlier-over"
	// proofReleaseAnswered: the back end that held them has answered their release.
	proofReleaseAnswered proof = "release-answered"
	// proofNamedNoMore: its heartbeats name them no more, and no answer that offered them
	// can be taken.
	proofNamedNoMore proof = "named-no-more"
)

// allKeys is the range of all that an instance had.
var allKeys = keyspace.Range{First: 0, Last: keyspace.LastKey}

// keysFree counts and logs that the leader is told that keys of an instance are free.
func (g *Gateway) keysFree(instance string, keys keyspace.Range, rests proof) {
	g.metrics.freed.WithLabelValues(string(rests)).Inc()
	g.config.Log.Info("keys are free", "instance", instance, "first", keys.First, "last", keys.Last, "proof", string(rests))
}
