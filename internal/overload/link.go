package overload

import "time"

// A back end makes large answers faster than a small machine's link sends them.
// What is admitted beyond the link's rate makes all of them late, and in the end
// callers leave while their answers wait: so the link is admitted for like slots
// are. A large answer is begun if it will be through in time. One that will not,
// but before its caller leaves, is begun where the link has little to send. All others
// are refused at once; another machine, or a later moment, may have room.

const (
	// leastMargin and mostMargin bound by how much longer than worked out an answer is
	// expected to take. Sizes differ by a fifth or so around their mean; beyond that it
	// is learned: other answers use the link too, and a machine that is short of its
	// processor or shares its link sends more slowly than the link does.
	leastMargin = 1.15
	mostMargin  = 3
	// marginWeight of one more answer in what is learned.
	marginWeight = 0.1
	// lateShare is the part of the target for which the link may be busy and still take
	// an answer that comes late: the next one that can be in time then has the rest.
	// Where late ones were let in by how much the link was used on average, up to their
	// callers' deadlines, queues of three seconds came and went, and in them all answers
	// were late.
	lateShare = 0.5
	// unknownAtOnce is how many large answers are begun at once before the size of one
	// is known. A process that has just started took all that came in its first half
	// second otherwise, five seconds' worth for its link, and answers lay there beyond
	// the end of their callers' gateways.
	unknownAtOnce = 4
	// answerWeight of a new large answer in the mean size.
	answerWeight = 0.1
)

// Link is a machine's link, as large answers use it.
type Link struct {
	// rate of large answers in bytes a second; zero is no bound.
	rate float64
	// free is when the link will have sent what was handed over.
	free time.Time
	// waiting are the bytes of large answers that were not handed over yet, and coming
	// those of the ones that are being made.
	waiting, coming int
	// begun is how many large answers are being made.
	begun int
	// size is the mean size of a large answer in bytes; zero before the first.
	size float64
	// margin is by how much longer than worked out answers took.
	margin float64
}

// NewLink returns a link of a number of bytes a second; zero is unknown and bounds
// nothing.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{rate: bytesPerSecond, margin: leastMargin}
}

// Bounded says that the link's rate is known.
func (l *Link) Bounded() bool { return l.rate > 0 }

// Transfer is what a large answer asks of the link.
type Transfer struct {
	// Due is when the answer is worth most, and Deadline when its caller leaves.
	Due, Deadline time.Time
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Run is how long the back end takes to make it.
	Run time.Duration
}

// Kept is what was kept of a link for a large answer.
type Kept struct {
	bytes int
	// at is when, and sent in how long the answer should have left this machine as
	// worked out.
	at   time.Time
	sent time.Duration
}

// Admit keeps a part of the link for a large answer, to be given to Settle once it
// is there or will never be.
func (l *Link) Admit(wanted Transfer, now time.Time) (kept Kept, ok bool) {
	if l.rate <= 0 {
		return Kept{}, true
	}
	if l.size == 0 && l.begun >= unknownAtOnce {
		return Kept{}, false
	}
	// The machine of the caller passes the answer on as it comes: it is there when this
	// link has sent it.
	sent := max(l.Backlog(now), wanted.Run) + l.TimeFor(int(l.size))
	through := now.Add(time.Duration(l.margin * float64(sent)))
	late := through.After(wanted.Due)
	if late && (through.After(wanted.Deadline) || !l.takesLate(wanted.Target, now)) {
		return Kept{}, false
	}
	l.coming += int(l.size)
	l.begun++
	return Kept{bytes: int(l.size), at: now, sent: sent}, true
}

// takesLate says that an answer that comes late leaves room for those in time.
func (l *Link) takesLate(target time.Duration, now time.Time) bool {
	return l.Backlog(now) <= time.Duration(lateShare*float64(target))
}

// Sent learns from a large answer that has left this machine whole.
func (l *Link) Sent(kept Kept, now time.Time) {
	if kept.sent <= 0 {
		return
	}
	took := now.Sub(kept.at).Seconds() / kept.sent.Seconds()
	l.margin += marginWeight * (min(max(took, leastMargin), mostMargin) - l.margin)
}

// Settle gives back what Admit kept. Answered says that the answer has come, of a
// number of bytes.
func (l *Link) Settle(kept Kept, answered bool, bytes int) {
	l.coming -= kept.bytes
	l.begun--
	switch {
	case !answered:
	case l.size == 0:
		l.size = float64(bytes)
	default:
		l.size += answerWeight * (float64(bytes) - l.size)
	}
}

// Wait counts bytes that wait to be handed over, or no longer do.
func (l *Link) Wait(bytes int) {
	l.waiting += bytes
}

// Note counts bytes that go to the link, and returns for how long it is busy with
// those before.
func (l *Link) Note(bytes int, now time.Time) time.Duration {
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

// Backlog is how long the link takes for what was handed over, what waits, and the
// large answers that are being made.
func (l *Link) Backlog(now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return max(l.free.Sub(now), 0) + l.TimeFor(l.waiting+l.coming)
}

// TimeFor is how long the link takes for a number of bytes.
func (l *Link) TimeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}
