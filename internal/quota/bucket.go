package quota

import "time"

// Bucket is a holder's share of one tenant's quota. It is not safe for concurrent use.
type Bucket struct {
	share Share
	limit Limit
	// level is the number of tokens at the reading at.
	level float64
	at    time.Duration
	// limited is the leader's word that the tenant asks for more than its quota.
	limited bool
	asked   uint32
	// returned are the tokens to give back with the next report.
	returned float64
	// lastAsked is when the last request came.
	lastAsked time.Duration
	// lastTurn is when the last refused request may come back.
	lastTurn time.Duration
}

// refill adds the tokens that have accrued, and applies a limit that may be new.
func (b *Bucket) refill(limit Limit, now time.Duration) {
	b.limit = limit
	b.level += max(now-b.at, 0).Seconds() * b.rate()
	b.at = max(b.at, now)
	b.spill()
}

func (b *Bucket) rate() float64 { return b.share.fraction() * b.limit.Rate }

// spill bounds the level by the share's depth.
func (b *Bucket) spill() { b.level = min(b.level, b.share.fraction()*b.limit.Depth) }

// Ask counts a request.
func (b *Bucket) Ask(now time.Duration) {
	b.asked++
	b.lastAsked = now
}

// Take takes a token for a request and reports whether there was one.
func (b *Bucket) Take(limit Limit, now time.Duration) bool {
	b.refill(limit, now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// PutBack returns the token of a request that was sent to no back end.
func (b *Bucket) PutBack(limit Limit, now time.Duration) {
	b.refill(limit, now)
	b.level++
	b.spill()
}

// Wait returns how long it takes until there is a token, and false if the share is too small
// to ever hold one.
func (b *Bucket) Wait() (time.Duration, bool) {
	if b.share.fraction()*b.limit.Depth < 1 || b.rate() == 0 {
		return 0, false
	}
	return time.Duration(max(1-b.level, 0) / b.rate() * float64(time.Second)), true
}

// Shared reports whether the holder has a share of the tenant's quota.
func (b *Bucket) Shared() bool { return b.share > 0 }

// Limited reports whether the tenant asks for more than its quota everywhere.
func (b *Bucket) Limited() bool { return b.limited }

// NextTurn returns after how long a refused request may come back to find a token, at most
// limit. Requests that are refused one after the other get different turns.
func (b *Bucket) NextTurn(now, limit time.Duration) time.Duration {
	wait, ok := b.Wait()
	if !ok {
		return limit
	}
	turn := max(b.lastTurn+time.Duration(float64(time.Second)/b.rate()), now+wait)
	b.lastTurn = min(turn, now+limit)
	return b.lastTurn - now
}

// idleAfter is how long a tenant sends nothing before a holder gives up its share.
const idleAfter = 5 * time.Second

// usage returns the tenant's part of a report and starts the next one. Without a limit for the
// tenant, or if there was no request for idleAfter, the share is given up with its tokens.
func (b *Bucket) usage(tenant string, limit Limit, known bool, now time.Duration) Usage {
	if known {
		b.refill(limit, now)
	}
	if !known || now-b.lastAsked > idleAfter {
		b.returned += b.level
		b.share, b.level = 0, 0
	}
	usage := Usage{Tenant: tenant, Share: b.share, Asked: b.asked, Returned: b.returned}
	b.asked, b.returned = 0, 0
	return usage
}

// apply sets the share that a grant names.
func (b *Bucket) apply(change Change, limit Limit, now time.Duration) {
	b.refill(limit, now)
	b.share, b.limited = change.Share, change.Limited
	b.level += change.Tokens
	if excess := b.level - b.share.fraction()*limit.Depth; excess > 0 {
		b.returned += excess
		b.level -= excess
	}
}

// Holder has a gateway's shares of all tenants. It is not safe for concurrent use.
type Holder struct {
	buckets map[string]*Bucket
	applied uint64
	// expiresAt is when all shares end.
	expiresAt time.Duration
}

// NewHolder returns a holder without any shares.
func NewHolder() *Holder { return &Holder{buckets: map[string]*Bucket{}} }

// Limits returns the limit of a tenant by the configuration in force, and false if it has none.
type Limits func(tenant string) (Limit, bool)

// Bucket returns a tenant's bucket.
func (h *Holder) Bucket(tenant string, now time.Duration) *Bucket {
	h.expire(now)
	bucket, ok := h.buckets[tenant]
	if !ok {
		bucket = &Bucket{at: now, lastAsked: now}
		h.buckets[tenant] = bucket
	}
	return bucket
}

// expire drops all shares if they have ended.
func (h *Holder) expire(now time.Duration) {
	if now < h.expiresAt {
		return
	}
	for _, bucket := range h.buckets {
		bucket.share, bucket.level, bucket.returned = 0, 0, 0
	}
}

// NewSession must be called when a session with a leader begins: grants of earlier sessions are
// not applied any more.
func (h *Holder) NewSession() { h.applied = 0 }

// Report returns what to report to the leader; nil if there is nothing to report and the leader
// has granted nothing in this session.
func (h *Holder) Report(limits Limits, now time.Duration) *Report {
	h.expire(now)
	if len(h.buckets) == 0 && h.applied == 0 {
		return nil
	}
	report := &Report{Applied: h.applied}
	for name, bucket := range h.buckets {
		limit, known := limits(name)
		usage := bucket.usage(name, limit, known, now)
		report.Tenants = append(report.Tenants, usage)
		if usage.Share == 0 && usage.Asked == 0 && now-bucket.lastAsked > idleAfter {
			delete(h.buckets, name)
		}
	}
	return report
}

// Apply applies the response to a report that was sent at sentAt. Validity is that of the
// grant, shortened by the possible drift between the clocks.
func (h *Holder) Apply(grant *Grant, sentAt, validity time.Duration, limits Limits, now time.Duration) {
	h.expire(now)
	h.applied = grant.Number
	h.expiresAt = max(h.expiresAt, sentAt+validity)
	if now >= h.expiresAt {
		return
	}
	for _, change := range grant.Changes {
		if limit, known := limits(change.Tenant); known {
			h.Bucket(change.Tenant, now).apply(change, limit, now)
		}
	}
}
