package logbuffer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// rateLimitWindow is the period for which the lines of one message are counted.
const rateLimitWindow = time.Second

// messageCount counts the lines of one message in the current window.
type messageCount struct {
	window     time.Duration
	passed     int
	suppressed int64
}

// rateLimitState is shared with the handlers that WithAttrs and WithGroup derive.
type rateLimitState struct {
	mutex           sync.Mutex
	maxPerWindow    int
	start           steady.Instant
	counts          map[string]*messageCount
	totalSuppressed int64
}

// RateLimitHandler is a slog.Handler that limits the lines per second of each
// message, so that frequent lines of one kind neither displace others nor take
// unbounded processor time. The next line of a message that passes has the number
// that was suppressed before it. Warnings and errors always pass.
type RateLimitHandler struct {
	next  slog.Handler
	state *rateLimitState
}

// NewRateLimitHandler returns a handler that limits the lines passed to next.
func NewRateLimitHandler(next slog.Handler, perSecond int) *RateLimitHandler {
	return &RateLimitHandler{next: next, state: &rateLimitState{maxPerWindow: perSecond, start: steady.Now(), counts: map[string]*messageCount{}}}
}

// Enabled implements slog.Handler.
func (h *RateLimitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *RateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.next.Handle(ctx, record)
	}
	suppressed, passes := h.state.admit(record.Message, steady.Now())
	if !passes {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int64("suppressed_before", suppressed))
	}
	return h.next.Handle(ctx, record)
}

// admit reports whether a line passes, and how many lines with its message were
// suppressed since the last one that passed.
func (s *rateLimitState) admit(message string, now steady.Instant) (suppressed int64, passes bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count, ok := s.counts[message]
	if !ok {
		count = &messageCount{}
		s.counts[message] = count
	}
	if window := now.Sub(s.start) / rateLimitWindow; window != count.window {
		count.window, count.passed = window, 0
	}
	if count.passed >= s.maxPerWindow {
		count.suppressed++
		s.totalSuppressed++
		return 0, false
	}
	count.passed++
	suppressed, count.suppressed = count.suppressed, 0
	return suppressed, true
}

// Suppressed returns the number of lines suppressed since the start.
func (h *RateLimitHandler) Suppressed() int64 {
	h.state.mutex.Lock()
	defer h.state.mutex.Unlock()
	return h.state.totalSuppressed
}

// WithAttrs implements slog.Handler.
func (h *RateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimitHandler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *RateLimitHandler) WithGroup(name string) slog.Handler {
	return &RateLimitHandler{next: h.next.WithGroup(name), state: h.state}
}
