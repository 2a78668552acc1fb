package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/quota"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const tenant = "t"

var terms = quota.Terms{}.WithDefaults()

func limitsOf(limit quota.Limit) quota.Limits {
	return func(name string) (quota.Limit, bool) { return limit, name == tenant }
}

func TestLimitStaysWithinTolerance(t *testing.T) {
	sold := routeconfig.Quota{RatePerSecond: 10, Burst: 5}
	limit := terms.Limit(sold)
	assert.Equal(t, limit.Rate, 10.0)
	allowed := sold.RatePerSecond*terms.Window.Seconds() + sold.Burst
	most := allowed*(1+terms.Over) + terms.Slack
	assert.Assert(t, limit.Rate*terms.Window.Seconds()+limit.Depth <= most)
	assert.Assert(t, limit.Depth >= sold.Burst)
}

func TestTermsAreChecked(t *testing.T) {
	assert.NilError(t, terms.Check())
	assert.ErrorContains(t, quota.Terms{Window: -1}.Check(), "window")
	assert.ErrorContains(t, quota.Terms{Over: -1}.Check(), "over")
	assert.ErrorContains(t, quota.Terms{Slack: -1}.Check(), "slack")
	assert.ErrorContains(t, quota.Terms{Validity: -1}.Check(), "validity")
}

// process is one life of a gateway in the model below, with messages that arrive late.
type process struct {
	node    string
	boot    uint64
	holder  *quota.Holder
	reports []message[*quota.Report]
	grants  []message[*quota.Grant]
	// clock is the process's own reading minus the leader's, and runs at rate.
	offset time.Duration
	rate   float64
	// cutUntil is until when the process reports nothing.
	cutUntil time.Duration
}

type message[T any] struct {
	value  T
	sentAt time.Duration
}

func (p *process) now(leader time.Duration) time.Duration {
	return time.Duration(float64(leader)*p.rate) + p.offset
}

const (
	clockDrift = 0.005
	start      = 100 * time.Second
)

// fleet is a model of gateways and the controllers that lead them one after the other.
type fleet struct {
	now       time.Duration
	limit     quota.Limit
	grantor   *quota.Grantor
	processes []*process
	taken     []time.Duration
	boots     uint64
}

func newFleet(t *rapid.T, limit quota.Limit, gateways int) *fleet {
	f := &fleet{now: start, limit: limit, grantor: quota.NewGrantor(terms, 0)}
	for i := range gateways {
		f.processes = append(f.processes, f.newProcess(t, fmt.Sprintf("node-%d", i)))
	}
	return f
}

func (f *fleet) newProcess(t *rapid.T, node string) *process {
	f.boots++
	drift := rapid.Float64Range(-clockDrift, clockDrift).Draw(t, "drift")
	return &process{node: node, boot: f.boots, holder: quota.NewHolder(), offset: time.Duration(f.boots) * time.Hour, rate: 1 + drift}
}

func (f *fleet) request(p *process) {
	now := p.now(f.now)
	bucket := p.holder.Bucket(tenant, now)
	bucket.Ask(now)
	f.retry(p)
}

// requestUntilRefused sends requests until one gets no token.
func (f *fleet) requestUntilRefused(p *process) {
	for before := -1; before < len(f.taken); f.request(p) {
		before = len(f.taken)
	}
}

// retry tries once more to take a token for a request.
func (f *fleet) retry(p *process) {
	if now := p.now(f.now); p.holder.Bucket(tenant, now).Take(f.limit, now) {
		f.taken = append(f.taken, f.now)
	}
}

func (f *fleet) report(p *process) {
	now := p.now(f.now)
	p.reports = append(p.reports, message[*quota.Report]{p.holder.Report(limitsOf(f.limit), now), now})
}

func (f *fleet) deliverReport(p *process) {
	if len(p.reports) == 0 {
		return
	}
	next := p.reports[0]
	p.reports = p.reports[1:]
	grant := f.grantor.Grant(p.node, p.boot, next.value, limitsOf(f.limit), f.now)
	p.grants = append(p.grants, message[*quota.Grant]{grant, next.sentAt})
}

func (f *fleet) deliverGrant(p *process) {
	if len(p.grants) == 0 {
		return
	}
	next := p.grants[0]
	p.grants = p.grants[1:]
	if next.value != nil {
		validity := time.Duration(float64(next.value.Validity) * (1 - 2*clockDrift))
		p.holder.Apply(next.value, next.sentAt, validity, limitsOf(f.limit), p.now(f.now))
	}
}

// reconnect ends a session; its messages in flight are lost.
func (f *fleet) reconnect(p *process) {
	p.reports, p.grants = nil, nil
	p.holder.NewSession()
}

// check fails if any window saw more requests than the terms allow, or more than the token
// bucket of the quota holds and refills, by the fastest of the clocks.
func (f *fleet) check(t *rapid.T, sold routeconfig.Quota) {
	span := terms.Window.Seconds()
	allowed := (sold.RatePerSecond*span+sold.Burst)*(1+terms.Over) + terms.Slack
	most := min(allowed, f.limit.Rate*span*(1+2*clockDrift)+f.limit.Depth+1)
	first := 0
	for last, at := range f.taken {
		for f.taken[first] < at-terms.Window {
			first++
		}
		if float64(last-first+1) > most {
			t.Fatalf("%d requests in the window that ends at %v, %v allowed", last-first+1, at, most)
		}
	}
}

// Whatever is delayed, lost, restarted or suspended, and however leaders change, no window sees
// more requests than the quota and its tolerance allow.
func TestSumOverGatewaysStaysWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sold := routeconfig.Quota{RatePerSecond: float64(rapid.IntRange(1, 100).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 100).Draw(t, "burst"))}
		f := newFleet(t, terms.Limit(sold), rapid.IntRange(1, 6).Draw(t, "gateways"))
		for range rapid.IntRange(200, 600).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 150).Draw(t, "milliseconds")) * time.Millisecond
			f.grantor.Expire(limitsOf(f.limit), f.now)
			at := rapid.IntRange(0, len(f.processes)-1).Draw(t, "gateway")
			p := f.processes[at]
			switch rapid.IntRange(0, 41).Draw(t, "event") {
			default:
				f.requestUntilRefused(p)
				if f.now >= p.cutUntil {
					f.exchangeWith(p)
				}
			case 14, 15, 16, 17, 18, 19:
				f.request(p)
				f.report(p)
			case 20, 21, 22, 23, 24, 25, 26, 27:
				f.deliverReport(p)
			case 28, 29, 30, 31, 32, 33, 34, 35:
				f.deliverGrant(p)
			case 36:
				f.reconnect(p)
			case 37: // restarted
				f.processes[at] = f.newProcess(t, p.node)
			case 38: // the next leader, after the end of the leadership lease
				f.grantor = quota.NewGrantor(terms, f.now)
				for _, p := range f.processes {
					f.reconnect(p)
				}
			case 39: // suspended
				f.now += time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second
			case 40, 41:
				p.cutUntil = f.now + time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds"))*time.Second
			}
		}
		f.check(t, sold)
	})
}

// exchange lets each gateway report and get its grant, in order.
func (f *fleet) exchange() {
	for _, p := range f.processes {
		f.exchangeWith(p)
	}
}

func (f *fleet) exchangeWith(p *process) {
	f.report(p)
	f.deliverReport(p)
	f.deliverGrant(p)
}

// steadyFleet runs requests at the given rates, in requests a second at each gateway, with a
// report every 200 ms and at once where there are no tokens, and returns how many were asked and
// granted in the last ten seconds.
func steadyFleet(f *fleet, rates func(gateway int, elapsed time.Duration) float64, length time.Duration) (asked, granted int) {
	const step = 10 * time.Millisecond
	began := f.now
	due := make([]float64, len(f.processes))
	for f.now < began+length {
		f.now += step
		elapsed := f.now - began
		counted := elapsed > length-10*time.Second
		for i, p := range f.processes {
			for due[i] += rates(i, elapsed) * step.Seconds(); due[i] >= 1; due[i]-- {
				before := len(f.taken)
				f.request(p)
				if len(f.taken) == before && !p.holder.Bucket(tenant, p.now(f.now)).Limited() {
					f.exchangeWith(p)
					f.retry(p)
				}
				if counted {
					asked++
					granted += len(f.taken) - before
				}
			}
		}
		if elapsed%(200*time.Millisecond) == 0 {
			f.exchange()
		}
	}
	return asked, granted
}

// plainFleet is a fleet without drift.
func plainFleet(limit quota.Limit, gateways int) *fleet {
	f := &fleet{now: start, limit: limit, grantor: quota.NewGrantor(terms, 0)}
	for i := range gateways {
		f.processes = append(f.processes, &process{node: fmt.Sprintf("node-%d", i), boot: 1, holder: quota.NewHolder(), rate: 1})
	}
	return f
}

// A tenant that stays within its quota is served wherever its requests come, also once they
// come to other gateways than before.
func TestRequestsWithinQuotaAreServed(t *testing.T) {
	sold := routeconfig.Quota{RatePerSecond: 40, Burst: 40}
	cases := map[string]func(gateway int, elapsed time.Duration) float64{
		"evenly":         func(int, time.Duration) float64 { return 3 },
		"at one gateway": func(gateway int, _ time.Duration) float64 { return map[int]float64{3: 30}[gateway] },
		"moving": func(gateway int, elapsed time.Duration) float64 {
			if gateway == int(elapsed/(4*time.Second))%10 {
				return 25
			}
			return 0
		},
	}
	for name, rates := range cases {
		f := plainFleet(terms.Limit(sold), 10)
		asked, granted := steadyFleet(f, rates, 30*time.Second)
		assert.Assert(t, float64(granted) > 0.95*float64(asked), "%s: %d of %d", name, granted, asked)
	}
}

// Beyond its quota a tenant gets what it is owed.
func TestQuotaIsUsedInFull(t *testing.T) {
	sold := routeconfig.Quota{RatePerSecond: 40, Burst: 40}
	f := plainFleet(terms.Limit(sold), 10)
	_, granted := steadyFleet(f, func(gateway int, _ time.Duration) float64 { return float64(5 * (gateway + 1)) }, 30*time.Second)
	assert.Assert(t, granted >= 10*40*85/100, "%d in ten seconds", granted)
}

// Shares are renewed by the next leader, so that a change of leader doesn't interrupt tenants.
func TestNextLeaderRenewsShares(t *testing.T) {
	sold := routeconfig.Quota{RatePerSecond: 40, Burst: 40}
	f := plainFleet(terms.Limit(sold), 4)
	rates := func(int, time.Duration) float64 { return 4 }
	steadyFleet(f, rates, 12*time.Second)
	f.grantor = quota.NewGrantor(terms, f.now)
	for _, p := range f.processes {
		f.reconnect(p)
	}
	asked, granted := steadyFleet(f, rates, terms.Validity)
	assert.Assert(t, granted >= asked*95/100, "%d of %d", granted, asked)
}

// Most of a thousand tenants are idle: a gateway reports only those that it has seen lately.
func TestIdleTenantsAreNotReported(t *testing.T) {
	holder := quota.NewHolder()
	everyone := func(string) (quota.Limit, bool) { return quota.Limit{Rate: 1, Depth: 10}, true }
	for i := range 1000 {
		holder.Bucket(fmt.Sprint("tenant-", i), start).Ask(start)
	}
	assert.Equal(t, len(holder.Report(everyone, start).Tenants), 1000)
	holder.Bucket("tenant-7", start+9*time.Second).Ask(start + 9*time.Second)
	holder.Report(everyone, start+10*time.Second)
	assert.Equal(t, len(holder.Report(everyone, start+11*time.Second).Tenants), 1)
}

func BenchmarkTake(b *testing.B) {
	limit := quota.Limit{Rate: 1e9, Depth: 1e9}
	holder := quota.NewHolder()
	holder.Apply(&quota.Grant{Number: 1, Changes: []quota.Change{{Tenant: tenant, Share: 1_000_000, Tokens: 1e9}}}, start, time.Hour, limitsOf(limit), start)
	b.ReportAllocs()
	for b.Loop() {
		bucket := holder.Bucket(tenant, start)
		bucket.Ask(start)
		bucket.Take(limit, start)
	}
}

func BenchmarkGrant(b *testing.B) {
	const gateways, tenants = 1000, 10
	limits := func(string) (quota.Limit, bool) { return quota.Limit{Rate: 1000, Depth: 1000}, true }
	grantor := quota.NewGrantor(terms, 0)
	report := &quota.Report{}
	for i := range tenants {
		report.Tenants = append(report.Tenants, quota.Usage{Tenant: fmt.Sprint("tenant-", i), Asked: 1})
	}
	nodes := make([]string, gateways)
	for i := range nodes {
		nodes[i] = fmt.Sprint("node-", i)
		grantor.Grant(nodes[i], 1, report, limits, start)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		grantor.Grant(nodes[i%gateways], 1, report, limits, start)
	}
}

// A bucket that is not used for long holds no more than its share of the depth.
func TestUnusedTokensDoNotAccrueBeyondDepth(t *testing.T) {
	limit := quota.Limit{Rate: 10, Depth: 20}
	holder := quota.NewHolder()
	holder.Apply(&quota.Grant{Number: 1, Changes: []quota.Change{{Tenant: tenant, Share: 500_000}}}, start, time.Hour, limitsOf(limit), start)
	later := start + time.Minute
	bucket, taken := holder.Bucket(tenant, later), 0
	for bucket.Take(limit, later) {
		taken++
	}
	assert.Equal(t, taken, 10)
}

// A report that was sent before a grant arrived doesn't free the share in that grant.
func TestReportInFlightDoesNotFreeShare(t *testing.T) {
	limits := limitsOf(quota.Limit{Rate: 100, Depth: 100})
	grantor := quota.NewGrantor(terms, 0)
	asking := &quota.Report{Tenants: []quota.Usage{{Tenant: tenant, Asked: 50}}}
	first := grantor.Grant("a", 1, asking, limits, start).Changes[0].Share
	assert.Assert(t, first > 0)
	grantor.Grant("a", 1, &quota.Report{Tenants: []quota.Usage{{Tenant: tenant}}}, limits, start+1)
	others := quota.Share(0)
	for _, node := range []string{"b", "c"} {
		for _, change := range grantor.Grant(node, 1, asking, limits, start+2).Changes {
			others += change.Share
		}
	}
	assert.Assert(t, first+others <= 1_000_000, "%d and %d", first, others)
}
