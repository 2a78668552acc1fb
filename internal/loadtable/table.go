// Package loadtable turns the reports of agents and routers into the load of
// each shard and back end. Reports lag and mislead, so:
//
//   - Shard load comes only from what agents measured at their own limit of
//     slots; a back end's claim is compared and counted, never used.
//   - What callers offered counts, including requests that were refused.
//   - What is averaged is a shard's share of its service's requests, so that a
//     rise of the whole service, as over a day, changes nothing between shards.
//   - A slow average keeps noise out; when the share leaves its confidence band,
//     the slow average jumps to the fast one, so that a shift is seen within a
//     second or two (change detection as in Shewhart's control charts, 1931).
//
// Nothing here reads a clock.
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
	// longestInterval bounds the time that one report can stand for.
	longestInterval = 2 * time.Second
)

const (
	// changeDeviations is the half width of the confidence band, in standard
	// deviations of the fast average.
	changeDeviations = 4.0
	// priorRequests is how many requests at the service's mean cost are mixed
	// into a shard's own mean cost, against the noise of few samples.
	priorRequests = 100.0
	// presumedRate is how many requests per second are presumed to succeed, so
	// that old failures fade and a single one proves little.
	presumedRate = 1.0
)

// Table keeps what was observed. It is not safe for concurrent use.
type Table struct {
	shards   map[topology.ShardID]*shard
	backends map[topology.BackendID]*backend
	services map[topology.ServiceID]*service
	// discounted counts claims that contradicted what was observed.
	discounted uint64
}

// service is what was observed of one service.
type service struct {
	cost cost
	// newest is when its newest report came.
	newest   time.Duration
	backends []*backend
}

// shard is what was observed of one shard.
type shard struct {
	reporter topology.BackendID
	// rate is the requests offered per second, over the fast window; share is
	// their part of those offered to the service, over the slow window.
	rate, share average
	cost        cost
	hotKeys     []wire.KeyLoad
	longRunning uint32
	// changedAt is when the share last left its confidence band.
	changedAt time.Duration
	// reported numbers the reporter's last report that named the shard.
	reported uint64
}

// backend is what was observed of one back end.
type backend struct {
	lastReport time.Duration
	reports    uint64
	shards     map[topology.ShardID]bool
	// offered requests per second.
	offered   average
	claimed   average
	observed  average
	completed average
	failed    average
	// routed is when a router last reported of it.
	routed time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		shards:   make(map[topology.ShardID]*shard),
		backends: make(map[topology.BackendID]*backend),
		services: make(map[topology.ServiceID]*service),
	}
}

// AgentReport takes an agent's report of its back end's shards.
func (t *Table) AgentReport(service topology.ServiceID, id topology.BackendID, renew *wire.Renew, now time.Duration) {
	reporter := t.backend(id)
	t.service(service).join(reporter, now)
	interval := min(now-reporter.lastReport, longestInterval)
	reporter.lastReport = now
	reporter.reports++
	if reporter.reports == 1 || interval <= 0 {
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
		t.shardReport(shardID, id, load, interval, total, now)
		busy += float64(load.BusyMicros) / 1e6
	}
	t.absentShards(reporter, interval, total, now)
	reporter.observed.add(busy/interval.Seconds(), interval, fastWindow)
	t.claim(reporter, float64(renew.Backend.Claimed), interval)
}

// claim compares a back end's word with what its agent observed.
func (t *Table) claim(reporter *backend, claimed float64, interval time.Duration) {
	reporter.claimed.add(claimed, interval, fastWindow)
	if placement.Contradicts(reporter.claimed.value(), reporter.observed.value()) {
		t.discounted++
	}
}

func (t *Table) shardReport(id topology.ShardID, from topology.BackendID, load wire.ShardLoad, interval time.Duration, total float64, now time.Duration) {
	observed, known := t.shards[id]
	if !known {
		observed = &shard{}
		t.shards[id] = observed
	}
	if observed.reporter != from {
		if load.Requests == 0 && load.Refused == 0 && load.LongRunning == 0 {
			return // A previous owner's last word.
		}
		delete(t.backend(observed.reporter).shards, id)
		observed.reporter = from
	}
	reporter := t.backend(from)
	reporter.shards[id] = true
	observed.reported = reporter.reports
	observed.longRunning = load.LongRunning
	observed.cost.add(float64(load.Requests), float64(load.BusyMicros)/1e6, interval)
	t.service(id.Service).cost.add(float64(load.Requests), float64(load.BusyMicros)/1e6, interval)
	observed.offered(float64(load.Requests)+float64(load.Refused), interval, total, now)
	if len(load.HotKeys) > 0 {
		observed.hotKeys = load.HotKeys
	}
}

// absentShards counts shards that a report left out as without requests.
func (t *Table) absentShards(reporter *backend, interval time.Duration, total float64, now time.Duration) {
	for id := range reporter.shards {
		observed := t.shards[id]
		if observed.reported != reporter.reports {
			observed.offered(0, interval, total, now)
			observed.longRunning = 0
		}
	}
}

// offered takes the requests of an interval into both averages. Where the
// share has left its confidence band it starts anew.
func (s *shard) offered(requests float64, interval time.Duration, total float64, now time.Duration) {
	s.rate.add(requests/interval.Seconds(), interval, fastWindow)
	if total <= 0 {
		return
	}
	present := s.rate.value() / total
	s.share.add(present, interval, slowWindow)
	expected := s.share.value() * total
	// An exponential average over window w has the variance of a mean over 2w.
	deviation := math.Sqrt(math.Max(expected, 1) / (2 * fastWindow.Seconds()))
	if math.Abs(s.rate.value()-expected) > changeDeviations*deviation {
		s.changedAt = now
		s.share = average{}
		s.share.add(present, interval, slowWindow)
		s.hotKeys = nil
	}
}

// join adds a back end to a service's and notes its report.
func (s *service) join(reporter *backend, now time.Duration) {
	if reporter.reports == 0 {
		s.backends = append(s.backends, reporter)
	}
	s.newest = max(s.newest, now)
}

// rate returns the requests per second that are offered to the service, by the
// back ends that reported lately.
func (s *service) rate() float64 {
	total := 0.0
	for _, reporter := range s.backends {
		if s.newest-reporter.lastReport <= longestInterval {
			total += reporter.offered.value()
		}
	}
	return total
}

// RouterReport takes what a router saw of back ends in an interval.
func (t *Table) RouterReport(report *wire.RouterLoad, interval, now time.Duration) {
	seconds := interval.Seconds()
	for _, observed := range report.Observed {
		seen := t.backend(observed.Backend)
		seen.routed = now
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

// Split divides what is known of a shard between it and its new right part.
// Hot keys go to the part that holds them; the rest goes by width.
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

// scale keeps a share of a shard's rate and the given keys, whose shares grow
// accordingly.
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

// Merge adds what is known of the right shard to the left and forgets it.
func (t *Table) Merge(left, right topology.ShardID) {
	ended, known := t.shards[right]
	if !known {
		return
	}
	delete(t.shards, right)
	delete(t.backend(ended.reporter).shards, right)
	if kept, found := t.shards[left]; found {
		kept.rate.join(ended.rate)
		kept.longRunning += ended.longRunning
		kept.share.join(ended.share)
		kept.cost.join(ended.cost)
	}
}

// Backend is what was observed of a back end.
type Backend struct {
	// Observed and Claimed load in slots.
	Observed, Claimed float64
	// FailureShare is the share of requests that failed at routers. It fades
	// when no router sends the back end any.
	FailureShare float64
}

// Backend returns what was observed of a back end until now.
func (t *Table) Backend(id topology.BackendID, now time.Duration) Backend {
	seen, known := t.backends[id]
	if !known {
		return Backend{}
	}
	result := Backend{Observed: seen.observed.value(), Claimed: seen.claimed.value()}
	faded := math.Exp(-(now - seen.routed).Seconds() / fastWindow.Seconds())
	failed, completed := seen.failed.value()*faded, seen.completed.value()*faded
	result.FailureShare = failed / (failed + completed + presumedRate)
	return result
}

// Discounted returns how many reports carried a claim that contradicted what
// was observed.
func (t *Table) Discounted() uint64 { return t.discounted }

func (t *Table) backend(id topology.BackendID) *backend {
	known, found := t.backends[id]
	if !found {
		known = &backend{shards: make(map[topology.ShardID]bool)}
		t.backends[id] = known
	}
	return known
}

func (t *Table) service(id topology.ServiceID) *service {
	known, found := t.services[id]
	if !found {
		known = &service{}
		t.services[id] = known
	}
	return known
}
