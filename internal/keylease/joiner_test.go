package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// reportCalm reports an owner whose keys use a fifth of its four slots, and that
// gives up what it is asked for.
func (l *leader) reportCalm(told *fleetwire.Instance) {
	const buckets, calmMicros = 64, 80_000
	var load []fleetwire.KeyLoad
	for _, owned := range l.state.Owners(service).OwnedBy(told.ID) {
		step := keyspace.Key(max(owned.Size()/buckets, 1))
		for i := range keyspace.Key(buckets) {
			load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(owned.First + i*step), BusyMicros: calmMicros / buckets})
		}
	}
	lease := l.planner.Report(&fleetwire.Report{Boot: 1, Instance: told, Load: load}, l.now)
	l.report(told, promisesOf(lease.Release, "")...)
}

// A back end that joins while nobody is short of room serves nobody until it
// holds keys: it must get some all the same, and once.
func TestABackEndThatJoinsInACalmTimeGetsKeys(t *testing.T) {
	l := newLeader()
	step := func(joined bool) {
		for node := range 2 {
			l.reportCalm(instance(node, 0))
		}
		if joined {
			l.reportCalm(instance(2, 0))
		}
		l.advance(100 * time.Millisecond)
	}
	for range 100 {
		step(false)
	}
	before := l.state.Owners(service).All()
	for range 50 {
		step(false)
	}
	assert.DeepEqual(t, l.state.Owners(service).All(), before)
	came := l.now
	for len(l.state.Owners(service).OwnedBy("i-2-0")) == 0 && l.now < came+10*time.Second {
		step(true)
	}
	assert.Assert(t, l.now <= came+5*time.Second, "no keys after %v", l.now-came)
	got := l.state.Owners(service).All()
	for range 100 {
		step(true)
	}
	assert.DeepEqual(t, l.state.Owners(service).All(), got)
}
