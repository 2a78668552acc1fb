// Package quota divides the quotas of tenants among the gateways of a fleet. It does no I/O and
// reads no clock: time is an argument, a monotonic reading of the process that calls.
//
// # Why the sum stays within a quota
//
// A quota is a token bucket: it refills at the tenant's rate and holds Limit.Depth tokens at
// most, and a request takes one. Grantor, at the leader, leases shares of the bucket to
// gateways. A holder of a share refills its Bucket at that share of the rate, up to that share
// of the depth; the leader's pool does the same with what is not leased. So the refills add up
// to the rate and the levels to the depth, and no span of time sees more requests than
// rate x span + depth.
//
// Shares and tokens move without being counted twice: a holder that has to give up a part of its
// share drops it before it reports so, and the leader leases that part to others only after the
// report; tokens are taken out of one level before they are put into another, and those in a
// lost message are lost. A share ends by the holder's clock before the leader takes it for free.
//
// A new leader doesn't know the shares that its predecessors leased. It renews what holders
// report that they hold, and leases nothing else until all earlier leases have ended. Its pool
// starts empty, so that a change of leader doesn't give a burst anew.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// Share is a part of a tenant's quota, in millionths.
type Share uint32

// wholeQuota is the sum of all shares of a tenant's quota.
const wholeQuota Share = 1_000_000

func (s Share) fraction() float64 { return float64(s) / float64(wholeQuota) }

// Terms say how exactly quotas hold. Zero values take the defaults.
type Terms struct {
	// Window is the span of time to which the tolerance applies.
	Window time.Duration
	// Over and Slack are the tolerance: in each span of Window there may be more requests than
	// the quota allows by the fraction Over and by the number Slack. They let gateways keep
	// tokens in stock; without them a tenant with few requests from many gateways would be
	// refused below its quota.
	Over  float64
	Slack float64
	// Validity is how long a share may be used without another response of the leader.
	Validity time.Duration
}

// Defaults of Terms.
const (
	DefaultWindow = 5 * time.Second
	DefaultOver   = 0.1
	DefaultSlack  = 20
	// DefaultValidity covers the replacement of a leader: gateways detect its silence after
	// 1.6 s and have the next leader's response within another second.
	DefaultValidity = 3 * time.Second
)

// WithDefaults returns the terms with the defaults in place of zeros.
func (t Terms) WithDefaults() Terms {
	t.Window = cmp.Or(t.Window, DefaultWindow)
	t.Over = cmp.Or(t.Over, DefaultOver)
	t.Slack = cmp.Or(t.Slack, DefaultSlack)
	t.Validity = cmp.Or(t.Validity, DefaultValidity)
	return t
}

// Check returns an error if a term is out of range.
func (t Terms) Check() error {
	switch {
	case t.Window < 0:
		return fmt.Errorf("window: %v is below zero", t.Window)
	case t.Validity < 0:
		return fmt.Errorf("validity: %v is below zero", t.Validity)
	case !(t.Over >= 0) || math.IsInf(t.Over, 1):
		return fmt.Errorf("over: %v is no ratio", t.Over)
	case !(t.Slack >= 0) || math.IsInf(t.Slack, 1):
		return fmt.Errorf("slack: %v is no number of requests", t.Slack)
	}
	return nil
}

// Limit is the token bucket of a quota.
type Limit struct {
	// Rate is in tokens a second, and Depth in tokens.
	Rate  float64
	Depth float64
}

// usedTolerance is the part of the tolerance that is given out as depth. The rest covers the
// drift between clocks, by which a holder may refill faster than the leader assumes.
const usedTolerance = 0.7

// Limit returns the token bucket of a quota.
func (t Terms) Limit(quota routeconfig.Quota) Limit {
	allowed := quota.RatePerSecond*t.Window.Seconds() + quota.Burst
	return Limit{Rate: quota.RatePerSecond, Depth: quota.Burst + usedTolerance*(allowed*t.Over+t.Slack)}
}

// Usage is what a holder reports of a tenant.
type Usage struct {
	Tenant string
	// Share is what the holder has at most.
	Share Share
	// Asked counts the requests since the last report, granted or not.
	Asked uint32
	// Returned are tokens that the holder gives back.
	Returned float64
}

// Report is a holder's part of a gateway's report.
type Report struct {
	// Applied is the number of the last Grant of the session that was applied; zero if none.
	Applied uint64
	Tenants []Usage
}

// Change sets a holder's share of a tenant's quota.
type Change struct {
	Tenant string
	Share  Share
	// Tokens are added to the holder's level.
	Tokens float64
	// Limited is set if the tenant asks for more than its quota everywhere, so that a request
	// without a token can't expect one soon.
	Limited bool
}

// Grant is the response to a Report. Shares that aren't in it stay as they are.
type Grant struct {
	// Number counts the grants for a holder in a term of leadership, from one.
	Number  uint64
	Changes []Change
	// Validity is how long all shares may be used, counted from when the report was sent.
	Validity time.Duration
}
