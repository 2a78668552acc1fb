package overload

import "time"

// Callers that are refused for lack of capacity retry. If many more are refused than can be
// served, as while one key is hot, they would be refused at every attempt until they have none
// left. So each is asked to retry when those that were refused before it could have been
// served, which is about when its own turn would be.

// Refusals counts the requests that were refused for lack of a slot and could not have
// been served since. The zero value has none.
type Refusals struct {
	count float64
	at    time.Time
}

// Add counts one more refusal, and returns how long it takes to serve those before it, at
// a rate of requests per second.
func (r *Refusals) Add(rate float64, now time.Time) time.Duration {
	wait := r.Wait(rate, now)
	r.count++
	return wait
}

// Wait returns how long it takes to serve those that were refused, at a rate of requests per
// second.
func (r *Refusals) Wait(rate float64, now time.Time) time.Duration {
	served := rate * max(now.Sub(r.at), 0).Seconds()
	r.count = max(r.count-served, 0)
	r.at = now
	return time.Duration(r.count / rate * float64(time.Second))
}
