package overload

import "time"

// Callers that are refused for want of room come back. Where many more are refused
// than can be served, as while one key runs hot, they would be refused each time,
// until they have no tries left. So each is told to come back when those that were
// refused before it could have been served: about when its turn would be.

// Refusals are requests that were refused for want of a slot and have not had the
// time to be served since. The zero value has none.
type Refusals struct {
	count float64
	at    time.Time
}

// Add counts one more refusal, and returns how long those before it take, at a rate
// of requests a second.
func (r *Refusals) Add(rate float64, now time.Time) time.Duration {
	served := rate * max(now.Sub(r.at), 0).Seconds()
	r.count = max(r.count-served, 0)
	r.at = now
	wait := time.Duration(r.count / rate * float64(time.Second))
	r.count++
	return wait
}
