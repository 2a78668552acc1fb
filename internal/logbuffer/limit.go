package logbuffer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// limitWindow is the time over which lines of one message are counted.
const limitWindow = time.Second

// messageCount counts the lines of one message in the present window.
type messageCount struct {
	window     time.Duration
	passed     int
	suppressed int64
}

// limitState is shared by the handlers that WithAttrs and WithGroup derive.
type limitState struct {
	mutex  sync.Mutex
	most   int
	began  steady.Instant
	counts map[string]*messageCount
	total  int64
}

// Limit is a slog.Handler that passes on at most a number of lines a second of
// each message, so that a flood of one kind neither crowds out the others nor
// costs more than a bounded time. The next line of a message tells how many of
// it were suppressed since the last one. Warnings and errors always pass.
type Limit struct {
	next  slog.Handler
	state *limitState
}

// NewLimit returns a handler in front of another.
func NewLimit(next slog.Handler, perSecond int) *Limit {
	return &Limit{next: next, state: &limitState{most: perSecond, began: steady.Now(), counts: map[string]*messageCount{}}}
}

// Enabled implements slog.Handler.
func (l *Limit) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *Limit) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return l.next.Handle(ctx, record)
	}
	suppressed, passes := l.state.admit(record.Message, steady.Now())
	if !passes {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int64("suppressed_before", suppressed))
	}
	return l.next.Handle(ctx, record)
}

// admit reports whether a line passes, and how many of its message did not
// since the last one that passed.
func (s *limitState) admit(message string, now steady.Instant) (suppressed int64, passes bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count, ok := s.counts[message]
	if !ok {
		count = &messageCount{}
		s.counts[message] = count
	}
	if window := now.Sub(s.began) / limitWindow; window != count.window {
		count.window, count.passed = window, 0
	}
	if count.passed >= s.most {
		count.suppressed++
		s.total++
		return 0, false
	}
	count.passed++
	suppressed, count.suppressed = count.suppressed, 0
	return suppressed, true
}

// Suppressed returns how many lines did not pass since the start.
func (l *Limit) Suppressed() int64 {
	l.state.mutex.Lock()
	defer l.state.mutex.Unlock()
	return l.state.total
}

// WithAttrs implements slog.Handler.
func (l *Limit) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limit{next: l.next.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *Limit) WithGroup(name string) slog.Handler {
	return &Limit{next: l.next.WithGroup(name), state: l.state}
}
