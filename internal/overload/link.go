package overload

import "time"

// A back end can produce large responses faster than a small machine's network link sends them.
// Requests admitted beyond the link's rate make all responses late, and in the end callers give
// up while their responses wait. So there is admission control for the link as for slots. A
// request with a large response is admitted if the response will be sent in time. If it will be
// sent late, but before the caller gives up, it is admitted only while the link has little to
// send. All others are refused at once; another machine may have capacity, or this one later.

const (
	// minMargin and maxMargin bound the factor by which a response is expected to take longer
	// than computed. Sizes differ by about a fifth from their mean. The rest is learned from
	// measurements: other responses use the link too, and a machine that is short of CPU or
	// shares its link sends more slowly than the link's rate.
	minMargin = 1.15
	maxMargin = 3
	// marginWeight is the weight of a new measurement in the margin.
	marginWeight = 0.1
	// maxLateBacklogShare is the share of the target for which the link may be busy and still
	// admit a late response: the rest remains for the next response that can be in time. When
	// late responses were admitted by the average use of the link, up to their callers'
	// deadlines, queues of three seconds built up again and again, in which all responses were
	// late.
	maxLateBacklogShare = 0.5
	// maxWithoutSize is how many large responses may be in progress before the size of one is
	// known. Without this limit a process that had just started admitted everything that
	// arrived in its first half second, five seconds' worth for its link, and responses were
	// still being sent when their callers' gateways had stopped.
	maxWithoutSize = 4
	// responseWeight is the weight of a new large response in the mean size.
	responseWeight = 0.1
)

// Link does admission control for the large responses on a machine's network link.
type Link struct {
	// rate is the link's rate in bytes per second; zero is unlimited.
	rate float64
	// free is when the link will have sent what was handed over to it.
	free time.Time
	// waiting is the number of bytes of large responses not yet handed over, and
	// inProgressBytes the expected number of those that back ends are still producing.
	waiting, inProgressBytes int
	// inProgress is how many large responses are being produced.
	inProgress int
	// size is the mean size of a large response in bytes; zero before the first.
	size float64
	// margin is the mean factor by which responses took longer than computed.
	margin float64
}

// NewLink returns a link with a rate in bytes per second; zero is unknown and means no limit.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{rate: bytesPerSecond, margin: minMargin}
}

// Bounded reports whether the link's rate is known.
func (l *Link) Bounded() bool { return l.rate > 0 }

// Transfer describes a large response that is to be sent over the link.
type Transfer struct {
	// Due is until when the response is in time, and Deadline when its caller gives up.
	Due, Deadline time.Time
	// Target is the time within which a response is in time.
	Target time.Duration
	// Run is how long the back end takes to produce it.
	Run time.Duration
}

// Reservation is the share of a link that is reserved for a large response.
type Reservation struct {
	bytes int
	// at is when the share was reserved, and sent the computed time from then until the
	// response has left this machine.
	at   time.Time
	sent time.Duration
}

// Admit reserves a share of the link for a large response. The reservation must be passed to
// Release once the response has arrived or can't arrive any more.
func (l *Link) Admit(wanted Transfer, now time.Time) (reservation Reservation, ok bool) {
	if l.rate <= 0 {
		return Reservation{}, true
	}
	if l.size == 0 && l.inProgress >= maxWithoutSize {
		return Reservation{}, false
	}
	// The caller's machine forwards the response while it arrives, so the response is complete
	// when this link has sent it.
	sent := max(l.Backlog(now), wanted.Run) + l.TimeFor(int(l.size))
	sentBy := now.Add(time.Duration(l.margin * float64(sent)))
	late := sentBy.After(wanted.Due)
	if late && (sentBy.After(wanted.Deadline) || !l.admitsLate(wanted.Target, now)) {
		return Reservation{}, false
	}
	l.inProgressBytes += int(l.size)
	l.inProgress++
	return Reservation{bytes: int(l.size), at: now, sent: sent}, true
}

// admitsLate reports whether a late response would leave capacity for those in time.
func (l *Link) admitsLate(target time.Duration, now time.Time) bool {
	return l.Backlog(now) <= time.Duration(maxLateBacklogShare*float64(target))
}

// Sent updates the margin after a large response has left this machine completely.
func (l *Link) Sent(reservation Reservation, now time.Time) {
	if reservation.sent <= 0 {
		return
	}
	took := now.Sub(reservation.at).Seconds() / reservation.sent.Seconds()
	l.margin += marginWeight * (min(max(took, minMargin), maxMargin) - l.margin)
}

// Release releases what Admit reserved. answered is set if the response has arrived, and bytes
// is its size.
func (l *Link) Release(reservation Reservation, answered bool, bytes int) {
	l.inProgressBytes -= reservation.bytes
	l.inProgress--
	switch {
	case !answered:
	case l.size == 0:
		l.size = float64(bytes)
	default:
		l.size += responseWeight * (float64(bytes) - l.size)
	}
}

// AddWaiting adds to the bytes that wait to be handed over. A negative number takes some away.
func (l *Link) AddWaiting(bytes int) {
	l.waiting += bytes
}

// AddSent records bytes that are handed over to the link, and returns how long it is busy with
// those before them.
func (l *Link) AddSent(bytes int, now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	if l.free.Before(now) {
		l.free = now
	}
	busy := l.free.Sub(now)
	l.free = l.free.Add(l.TimeFor(bytes))
	return busy
}

// Backlog returns how long the link takes for what was handed over, what waits, and the large
// responses that are being produced.
func (l *Link) Backlog(now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return max(l.free.Sub(now), 0) + l.TimeFor(l.waiting+l.inProgressBytes)
}

// TimeFor returns how long the link takes for a number of bytes.
func (l *Link) TimeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}
