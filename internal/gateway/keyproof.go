package gateway

import "github.com/quartzdock/quartzdock/internal/keyspace"

// proof is what it rests on that keys may go to another owner.
type proof string

// Proofs.
const (
	proofConnectionRefused proof = "connection-refused"
	proofNextLife          proof = "next-life"
	proofTimeOver          proof = "time-over"
	proofReleaseAnswered   proof = "release-answered"
	proofNamedNoMore       proof = "named-no-more"
)

// allKeys is the range of all that an instance had.
var allKeys = keyspace.Range{First: 0, Last: keyspace.LastKey}

// keysFree counts and logs that the leader is told that keys of an instance are free.
func (g *Gateway) keysFree(instance string, keys keyspace.Range, rests proof) {
	g.metrics.freed.WithLabelValues(string(rests)).Inc()
	g.config.Log.Info("keys are free", "instance", instance, "first", keys.First, "last", keys.Last, "proof", string(rests))
}
