package warmup

import "time"

// Share is the part of what a cold back end bears that one of many senders uses.
// Senders do not ask each other: each takes its equal part, so that together they
// send about what the back end bears and none learns it by refusals. The zero value
// is ready for use.
type Share struct {
	tokens float64
	at     time.Time
}

// Take reports whether a sender may send now, and counts it. Rate is what the back
// end bears in requests a second, and senders how many there are. The first request
// of a share is drawn by lot: draw is a random number from 0 to 1.
func (s *Share) Take(rate float64, senders int, draw float64, now time.Time) bool {
	if !s.Has(rate, senders, draw, now) {
		return false
	}
	s.tokens--
	return true
}

// Has reports whether a sender may send now.
func (s *Share) Has(rate float64, senders int, draw float64, now time.Time) bool {
	if s.at.IsZero() {
		s.tokens = draw
	} else if elapsed := now.Sub(s.at); elapsed > 0 {
		s.tokens = min(1, s.tokens+rate/float64(max(senders, 1))*elapsed.Seconds())
	}
	s.at = now
	return s.tokens >= 1
}
