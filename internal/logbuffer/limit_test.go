package logbuffer

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Lines of one message beyond the limit are suppressed and counted; other messages and
// warnings pass.
func TestRepeatedMessageIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		limit := NewRateLimitHandler(slog.NewJSONHandler(&out, nil), 10)
		log := slog.New(limit).With("node", "n")
		for range 35 {
			log.Info("frequent")
		}
		log.Info("rare")
		log.Warn("frequent")
		assert.Equal(t, strings.Count(out.String(), `"msg":"frequent"`), 11, "ten lines and the warning")
		assert.Equal(t, strings.Count(out.String(), `"msg":"rare"`), 1)
		assert.Equal(t, limit.Suppressed(), int64(25))
		time.Sleep(rateLimitWindow)
		log.Info("frequent")
		assert.Assert(t, strings.Contains(out.String(), `"node":"n","suppressed_before":25`), "%s", out.String())
	})
}

// BenchmarkLine measures writing one log line of a rejected request, buffer included.
func BenchmarkLine(b *testing.B) {
	buffer := New(discard{}, DefaultLines)
	defer buffer.Close(time.Second)
	log := slog.New(NewRateLimitHandler(slog.NewJSONHandler(buffer, nil), 1<<30)).With("node", "n")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request not served", "request", "9c41d07be2a35f68", "status", 503, "reason", "no-room", "host", "h.example", "path", "/a/b", "key", "17", "version", uint64(7))
	}
}

// discard accepts and drops all output.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
