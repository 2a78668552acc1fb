package requestrecord

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
)

// BenchmarkAdmit measures admission with its sync, for one caller and for
// several per processor at once, which share syncs. It reports syncs per admission.
func BenchmarkAdmit(b *testing.B) {
	b.Run("callers=1xCPU", func(b *testing.B) { benchmarkAdmit(b, 1) })
	b.Run("callers=8xCPU", func(b *testing.B) { benchmarkAdmit(b, 8) })
	b.Run("callers=1", func(b *testing.B) {
		record, next := benchmarkRecord(b)
		for b.Loop() {
			benchmarkOne(b, record, next())
		}
		reportSyncs(b, record)
	})
}

func benchmarkAdmit(b *testing.B, parallelism int) {
	record, next := benchmarkRecord(b)
	b.SetParallelism(parallelism)
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			benchmarkOne(b, record, next())
		}
	})
	reportSyncs(b, record)
}

func benchmarkRecord(b *testing.B) (*Record, func() requestid.ID) {
	b.ReportAllocs()
	stamp := time.Now()
	record, err := Open(Config{Directory: b.TempDir(), Now: func() time.Time { return stamp }})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = record.Close() })
	if _, err := record.Begin(shard, 1, whole); err != nil {
		b.Fatal(err)
	}
	stamp = stamp.Add(DefaultClockBound)
	var count atomic.Uint64
	return record, func() requestid.ID {
		var random [10]byte
		binary.BigEndian.PutUint64(random[2:], count.Add(1))
		return requestid.New(stamp, random)
	}
}

func benchmarkOne(b *testing.B, record *Record, id requestid.ID) {
	verdict, err := record.Admit(context.Background(), shard, 1, id, 7)
	if err != nil || verdict.Decision != Fresh {
		b.Fatal(verdict, err)
	}
	record.Finish(shard, id, &Answer{Status: 200, Body: []byte("ok")})
}

func reportSyncs(b *testing.B, record *Record) {
	stats := record.Stats()
	b.ReportMetric(float64(stats.Syncs)/float64(stats.Fresh), "syncs/op")
}
