package logbuffer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

// DefaultPerSecond is the default limit of lines per second of one message.
const DefaultPerSecond = 400

// Collectors returns the metrics of a log buffer and its rate limit.
func Collectors(buffer *Writer, limit *RateLimitHandler) []prometheus.Collector {
	counter := func(name, help string, read func() int64) prometheus.Collector {
		options := prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: "log", Name: name, Help: help}
		return prometheus.NewCounterFunc(options, func() float64 { return float64(read()) })
	}
	return []prometheus.Collector{
		counter("lines_dropped_total", "Lines lost because the log's reader stood still.", buffer.TotalDropped),
		counter("lines_suppressed_total", "Lines that did not pass the limit of their message.", limit.Suppressed),
	}
}
