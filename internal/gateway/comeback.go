package gateway

import "time"

// Callers that are refused for want of room come back. Where many more are refused
// than can be served, as while one key runs hot, they would be refused each time,
// until they have no tries left. So each is told to come back when those that were
// refused before it could have been served: about when its turn would be.

// comeBackShare is the most of the time that a caller has left by which it is told
// to come back, so that it still has time for an answer and for one more try.
const comeBackShare = 1.0 / 3

// refusals are requests that were refused for want of a slot and have not had the
// time to be served since.
type refusals struct {
	count float64
	at    time.Time
}

// add counts one more refusal, and returns how long those before it take, at a rate
// of requests a second.
func (r *refusals) add(rate float64, now time.Time) time.Duration {
	served := rate * max(now.Sub(r.at), 0).Seconds()
	r.count = max(r.count-served, 0)
	r.at = now
	wait := time.Duration(r.count / rate * float64(time.Second))
	r.count++
	return wait
}

// comeBackIn counts a refusal of a kind of request and returns when there may be
// room for it.
func (g *slotGate) comeBackIn(short bool, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	use := g.use(short)
	rate := float64(g.capacity) / max(use.serviceTime, time.Millisecond).Seconds()
	return use.refused.add(rate, now)
}

// comeBackWithin bounds when a caller is told to come back that leaves in a time.
func comeBackWithin(after, left time.Duration) time.Duration {
	return min(after, max(retryRoom, time.Duration(comeBackShare*float64(left))))
}
