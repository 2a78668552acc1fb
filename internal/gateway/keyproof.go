package gateway

import "github.com/quartzdock/quartzdock/internal/keyspace"

// freeProof is the proof that keys may be assigned to another owner.
type freeProof string

// Values of freeProof.
const (
	// proofExpired: every grant has expired.
	proofExpired freeProof = "time-over"
	// proofEarlierExpired: every grant to earlier incarnations of the instance, or by earlier
	// processes of this gateway, has expired.
	proofEarlierExpired freeProof = "earlier-over"
	// proofReleaseConfirmed: the back end that held the keys has confirmed their release.
	proofReleaseConfirmed freeProof = "release-answered"
	// proofNoLongerReported: the back end's heartbeats no longer name the keys, and it can't
	// accept a response that offered them any more.
	proofNoLongerReported freeProof = "named-no-more"
)

// allKeys is the range of all keys that an instance may have held.
var allKeys = keyspace.Range{First: 0, Last: keyspace.LastKey}

// recordKeysFree counts and logs a report to the leader that keys of an instance are free.
func (g *Gateway) recordKeysFree(instance string, keys keyspace.Range, proof freeProof) {
	g.metrics.keysFreed.WithLabelValues(string(proof)).Inc()
	g.config.Log.Info("keys are free", "instance", instance, "first", keys.First, "last", keys.Last, "proof", string(proof))
}
