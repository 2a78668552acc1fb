package warmup

import "time"

// Share is one sender's part of the rate of a cold back end. Senders don't coordinate:
// each is limited to an equal part, so that together they send at about the back end's
// rate, and none of them has to discover the limit by rejections. The zero value is
// ready for use.
type Share struct {
	tokens float64
	at     time.Time
}

// Take reports whether the sender may send a request now, and if so counts it. rate is the back
// end's limit in requests per second, and senders is the number of senders. draw is a random
// number from 0 to 1 and becomes the share's first tokens, so that senders don't all begin at
// the same time.
func (s *Share) Take(rate float64, senders int, draw float64, now time.Time) bool {
	if !s.Available(rate, senders, draw, now) {
		return false
	}
	s.tokens--
	return true
}

// Available reports whether the sender may send a request now, without counting it.
func (s *Share) Available(rate float64, senders int, draw float64, now time.Time) bool {
	if s.at.IsZero() {
		s.tokens = draw
	} else if elapsed := now.Sub(s.at); elapsed > 0 {
		s.tokens = min(1, s.tokens+rate/float64(max(senders, 1))*elapsed.Seconds())
	}
	s.at = now
	return s.tokens >= 1
}
