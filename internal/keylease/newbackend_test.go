package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// reportLowLoad reports an owner whose keys use a fifth of its four slots, and that
// releases what it is asked for.
func (l *leader) reportLowLoad(reported *fleetwire.Instance) {
	const buckets, busyMicros = 64, 80_000
	var load []fleetwire.KeyLoad
	for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
		step := keyspace.Key(max(owned.Size()/buckets, 1))
		for i := range keyspace.Key(buckets) {
			load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(owned.First + i*step), BusyMicros: busyMicros / buckets})
		}
	}
	lease := l.planner.Report(&fleetwire.Report{Boot: 1, Instance: reported, Load: load}, l.now)
	l.report(reported, releasesOf(lease.Release, "")...)
}

// A new back end gets no requests until it holds keys. It must get some even if no other
// back end is short of capacity, and only once.
func TestNewBackEndGetsKeysAtLowLoad(t *testing.T) {
	l := newLeader()
	step := func(joined bool) {
		for node := range 2 {
			l.reportLowLoad(instance(node, 0))
		}
		if joined {
			l.reportLowLoad(instance(2, 0))
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
	started := l.now
	for len(l.state.Owners(service).OwnedBy("i-2-0")) == 0 && l.now < started+10*time.Second {
		step(true)
	}
	assert.Assert(t, l.now <= started+5*time.Second, "no keys after %v", l.now-started)
	got := l.state.Owners(service).All()
	for range 100 {
		step(true)
	}
	assert.DeepEqual(t, l.state.Owners(service).All(), got)
}
