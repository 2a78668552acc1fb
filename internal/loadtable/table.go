// Package loadtable estimates the load of each shard and back end from the
// reports of agents and routers. Reports are late and may be wrong, so:
//
//   - Shard load comes only from what agents measured at their own limit of
//     slots. The load that a back end claims itself is compared with it, and
//     contradictions are counted, but it is never used.
//   - Load is the load that callers offer, including requests that were refused.
//   - The average is taken of a shard's share of its service's requests, so that
//     a rise of the whole service, for example over a day, doesn't change the
//     shards' loads relative to each other.
//   - A slow average filters out noise. When the share leaves its confidence
//     band, the slow average is reset to the fast one, so that a shift is seen
//     within a second or two (change detection as in Shewhart's control charts,
//     1931).
//
// The package reads no clock: callers pass the time.
package loadtable

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Time constants of the averages.
const (
	fastWindow = 1 * time.Second
	slowWindow = 20 * time.Second
	// maxInterval bounds the time that one report is taken to cover.
	maxInterval = 2 * time.Second
)

const (
	// changeThreshold is the half width of the confidence band, in standard
	// deviations of the fast average.
	changeThreshold = 4.0
	// priorRequests is the weight of the service's mean cost in a shard's own
	// mean cost, as a number of requests. It reduces the noise of few samples.
	priorRequests = 100.0
	// priorSuccessRate is a number of successful requests per second that is
	// added to those observed, so that the failure share falls as failures get
	// older and a single failure has little effect.
	priorSuccessRate = 1.0
)

// Table holds the averages of all services, shards and back ends. It is not safe
// for concurrent use.
type Table struct {
	shards   map[topology.ShardID]*shard
	backends map[topology.BackendID]*backend
	services map[topology.ServiceID]*service
	// contradictedClaims counts reports whose claimed load contradicted the
	// observed load.
	contradictedClaims uint64
}

// service holds the observations of one service.
type service struct {
	cost cost
	// latestReport is when the latest report of any of its back ends arrived.
	latestReport time.Duration
	backends     []*backend
}

// shard holds the observations of one shard.
type shard struct {
	reporter topology.BackendID
	// rate is the requests offered per second, over the fast window; share is
	// the fraction of the service's offered requests, over the slow window.
	rate, share average
	cost        cost
	hotKeys     []wire.KeyLoad
	longRunning uint32
	// changedAt is when the share last left its confidence band.
	changedAt time.Duration
	// lastReportNumber is the reporter's reportCount at its last report that
	// listed the shard.
	lastReportNumber uint64
}

// backend holds the observations of one back end.
type backend struct {
	lastReport  time.Duration
	reportCount uint64
	shards      map[topology.ShardID]bool
	// offered is requests per second; claimed and observed are load in slots.
	offered  average
	claimed  average
	observed average
	// completed and failed are requests per second as routers report them.
	completed average
	failed    average
	// lastRouterReport is when a router last reported on the back end.
	lastRouterReport time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		shards:   make(map[topology.ShardID]*shard),
		backends: make(map[topology.BackendID]*backend),
		services: make(map[topology.ServiceID]*service),
	}
}

// RecordAgentReport records an agent's report on the shards of its back end.
func (t *Table) RecordAgentReport(service topology.ServiceID, id topology.BackendID, renew *wire.Renew, now time.Duration) {
	reporter := t.backend(id)
	t.service(service).recordReport(reporter, now)
	interval := min(now-reporter.lastReport, maxInterval)
	reporter.lastReport = now
	reporter.reportCount++
	if reporter.reportCount == 1 || interval <= 0 {
		return
	}
	offered := 0.0
	for _, load := range renew.Load {
		offered += float64(load.Requests) + float64(load.Refused)
	}
	reporter.offered.add(offered/interval.Seconds(), interval, fastWindow)
	total := t.service(service).rate()
	busy := 0.0
	for _, load := range renew.Load {
		shardID := topology.ShardID{Service: service, Shard: load.Shard}
		t.recordShardLoad(shardID, id, load, interval, total, now)
		busy += float64(load.BusyMicros) / 1e6
	}
	t.recordAbsentShards(reporter, interval, total, now)
	reporter.observed.add(busy/interval.Seconds(), interval, fastWindow)
	t.recordClaim(reporter, float64(renew.Backend.Claimed), interval)
}

// recordClaim compares the load that a back end claims with what its agent
// observed.
func (t *Table) recordClaim(reporter *backend, claimed float64, interval time.Duration) {
	reporter.claimed.add(claimed, interval, fastWindow)
	if placement.Contradicts(reporter.claimed.value(), reporter.observed.value()) {
		t.contradictedClaims++
	}
}

// recordShardLoad records one shard's load from an agent's report.
func (t *Table) recordShardLoad(id topology.ShardID, from topology.BackendID, load wire.ShardLoad, interval time.Duration, total float64, now time.Duration) {
	observed, known := t.shards[id]
	if !known {
		observed = &shard{}
		t.shards[id] = observed
	}
	if observed.reporter != from {
		if load.Requests == 0 && load.Refused == 0 && load.LongRunning == 0 {
			return // an empty report of a previous owner
		}
		delete(t.backend(observed.reporter).shards, id)
		observed.reporter = from
	}
	reporter := t.backend(from)
	reporter.shards[id] = true
	observed.lastReportNumber = reporter.reportCount
	observed.longRunning = load.LongRunning
	observed.cost.add(float64(load.Requests), float64(load.BusyMicros)/1e6, interval)
	t.service(id.Service).cost.add(float64(load.Requests), float64(load.BusyMicros)/1e6, interval)
	observed.addOffered(float64(load.Requests)+float64(load.Refused), interval, total, now)
	if len(load.HotKeys) > 0 {
		observed.hotKeys = load.HotKeys
	}
}

// recordAbsentShards records no requests for shards that a report doesn't list.
func (t *Table) recordAbsentShards(reporter *backend, interval time.Duration, total float64, now time.Duration) {
	for id := range reporter.shards {
		observed := t.shards[id]
		if observed.lastReportNumber != reporter.reportCount {
			observed.addOffered(0, interval, total, now)
			observed.longRunning = 0
		}
	}
}

// addOffered adds the requests of an interval to both averages. It resets the
// share to the present one if it has left its confidence band.
func (s *shard) addOffered(requests float64, interval time.Duration, total float64, now time.Duration) {
	s.rate.add(requests/interval.Seconds(), interval, fastWindow)
	if total <= 0 {
		return
	}
	present := s.rate.value() / total
	s.share.add(present, interval, slowWindow)
	expected := s.share.value() * total
	// An exponential average over window w has the variance of a mean over 2w.
	deviation := math.Sqrt(math.Max(expected, 1) / (2 * fastWindow.Seconds()))
	if math.Abs(s.rate.value()-expected) > changeThreshold*deviation {
		s.changedAt = now
		s.share = average{}
		s.share.add(present, interval, slowWindow)
		s.hotKeys = nil
	}
}

// recordReport records the time of a back end's report, and adds the back end to
// the service at its first one.
func (s *service) recordReport(reporter *backend, now time.Duration) {
	if reporter.reportCount == 0 {
		s.backends = append(s.backends, reporter)
	}
	s.latestReport = max(s.latestReport, now)
}

// rate returns the requests per second that are offered to the service, as the
// sum over the back ends that reported within maxInterval of the latest report.
func (s *service) rate() float64 {
	total := 0.0
	for _, reporter := range s.backends {
		if s.latestReport-reporter.lastReport <= maxInterval {
			total += reporter.offered.value()
		}
	}
	return total
}

// RecordRouterReport records what a router observed of back ends in an interval.
func (t *Table) RecordRouterReport(report *wire.RouterLoad, interval, now time.Duration) {
	seconds := interval.Seconds()
	for _, observed := range report.Observed {
		seen := t.backend(observed.Backend)
		seen.lastRouterReport = now
		seen.completed.add(float64(observed.Completed)/seconds, interval, fastWindow)
		seen.failed.add((float64(observed.Failed)+float64(observed.TimedOut))/seconds, interval, fastWindow)
	}
}

// Load returns the load that callers offer to a shard, in slots.
func (t *Table) Load(id topology.ShardID) float64 { return t.Service(id.Service).Shard(id).Slots }

// LongRunning returns how many requests of a shard have been running for longer
// than its owner's last interval between reports.
func (t *Table) LongRunning(id topology.ShardID) uint32 {
	observed, known := t.shards[id]
	if !known {
		return 0
	}
	return observed.longRunning
}

// HotKeys returns the hottest keys of a shard with their load in slots.
func (t *Table) HotKeys(id topology.ShardID) []placement.HotKey {
	return t.Service(id.Service).Shard(id).HotKeys
}

// Split divides the load of a shard between it and its new right part. The load
// of hot keys goes to the part that contains them; the rest is divided by width.
func (t *Table) Split(left, right topology.ShardID, at topology.KeyHash, leftWidthShare float64) {
	observed, known := t.shards[left]
	if !known {
		return
	}
	leftShare, hotShare := 0.0, 0.0
	var leftKeys, rightKeys []wire.KeyLoad
	for _, hot := range observed.hotKeys {
		hotShare += float64(hot.Share)
		if hot.Key < at {
			leftShare += float64(hot.Share)
			leftKeys = append(leftKeys, hot)
		} else {
			rightKeys = append(rightKeys, hot)
		}
	}
	leftShare += math.Max(0, 1-hotShare) * leftWidthShare
	part := *observed
	part.scale(1-leftShare, rightKeys)
	observed.scale(leftShare, leftKeys)
	t.shards[right] = &part
	t.backend(part.reporter).shards[right] = true
}

// scale reduces a shard's load to a share of it and keeps the given hot keys,
// whose own shares grow accordingly.
func (s *shard) scale(share float64, keys []wire.KeyLoad) {
	s.rate.scale(share)
	s.share.scale(share)
	s.cost.scale(share)
	s.hotKeys = nil
	for _, hot := range keys {
		grown := math.Min(1, float64(hot.Share)/math.Max(share, 1e-9))
		s.hotKeys = append(s.hotKeys, wire.KeyLoad{Key: hot.Key, Share: float32(grown)})
	}
}

// Merge adds the load of the right shard to the left one and removes the right
// one.
func (t *Table) Merge(left, right topology.ShardID) {
	removed, known := t.shards[right]
	if !known {
		return
	}
	delete(t.shards, right)
	delete(t.backend(removed.reporter).shards, right)
	if kept, found := t.shards[left]; found {
		kept.rate.merge(removed.rate)
		kept.longRunning += removed.longRunning
		kept.share.merge(removed.share)
		kept.cost.merge(removed.cost)
	}
}

// Backend is the observed load and failure share of a back end.
type Backend struct {
	// Observed and Claimed load in slots.
	Observed, Claimed float64
	// FailureShare is the share of requests that failed or timed out at routers.
	// It decays while no router reports on the back end.
	FailureShare float64
}

// Backend returns the observed load and failure share of a back end at a time.
func (t *Table) Backend(id topology.BackendID, now time.Duration) Backend {
	seen, known := t.backends[id]
	if !known {
		return Backend{}
	}
	result := Backend{Observed: seen.observed.value(), Claimed: seen.claimed.value()}
	decay := math.Exp(-(now - seen.lastRouterReport).Seconds() / fastWindow.Seconds())
	failed, completed := seen.failed.value()*decay, seen.completed.value()*decay
	result.FailureShare = failed / (failed + completed + priorSuccessRate)
	return result
}

// ContradictedClaims returns how many reports carried a claim that contradicted what
// was observed.
func (t *Table) ContradictedClaims() uint64 { return t.contradictedClaims }

// backend returns the entry of a back end, and adds one if there is none.
func (t *Table) backend(id topology.BackendID) *backend {
	known, found := t.backends[id]
	if !found {
		known = &backend{shards: make(map[topology.ShardID]bool)}
		t.backends[id] = known
	}
	return known
}

// service returns the entry of a service, and adds one if there is none.
func (t *Table) service(id topology.ServiceID) *service {
	known, found := t.services[id]
	if !found {
		known = &service{}
		t.services[id] = known
	}
	return known
}
