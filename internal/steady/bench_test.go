package steady_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}

func BenchmarkSuspended(b *testing.B) {
	for b.Loop() {
		_ = steady.Suspended()
	}
}
