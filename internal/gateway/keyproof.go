package gateway

import "github.com/quartzdock/quartzdock/internal/keyspace"

// freeProof says why keys may be assigned to another owner.
type freeProof string

// Values of freeProof.
const (
	// proofExpired: every grant has expired.
	proofExpired freeProof = "time-over"
	// proofEarlierExpired: every grant to earlier incarnations of the instance, or by earlier
	// processes of this gateway, has expired.
	proofEarlierExpired freeProof = "earlier-over"
	// proofReleaseAnswered: the back end that held the keys has answered their release.
	proofReleaseAnswered freeProof = "release-answered"
	// proofNoLongerReported: the back end's heartbeats no longer name the keys, and it can't
	// accept an answer that offered them any more.
	proofNoLongerReported freeProof = "named-no-more"
)

// allKeys is the range of all keys that an instance may have held.
var allKeys = keyspace.Range{First: 0, Last: keyspace.LastKey}

// recordKeysFree counts and logs that the leader is told that keys of an instance are free.
func (g *Gateway) recordKeysFree(instance string, keys keyspace.Range, proof freeProof) {
	g.metrics.keysFreed.WithLabelValues(string(proof)).Inc()
	g.config.Log.Info("keys are free", "instance", instance, "first", keys.First, "last", keys.Last, "proof", string(proof))
}
