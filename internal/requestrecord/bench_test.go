package requestrecord

import (
	"context"
	"encoding/binary"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
)

// BenchmarkAdmit measures admission with its sync, for one caller and for
// several per processor at once, which share syncs. It reports the number of syncs per
// admission.
func BenchmarkAdmit(b *testing.B) {
	b.Run("callers=1xCPU", func(b *testing.B) { benchmarkAdmit(b, 1) })
	b.Run("callers=8xCPU", func(b *testing.B) { benchmarkAdmit(b, 8) })
	b.Run("callers=1", func(b *testing.B) {
		record, next := benchmarkRecord(b)
		for b.Loop() {
			admitAndFinish(b, record, next())
		}
		reportSyncs(b, record)
	})
}

func benchmarkAdmit(b *testing.B, parallelism int) {
	record, next := benchmarkRecord(b)
	b.SetParallelism(parallelism)
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			admitAndFinish(b, record, next())
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

func admitAndFinish(b *testing.B, record *Record, id requestid.ID) {
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

// BenchmarkSync measures one write and sync alone, for comparison.
func BenchmarkSync(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "plain"))
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	entry := make([]byte, 128)
	for b.Loop() {
		if _, err := file.Write(entry); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeptAnswers reports the size of an entry with an answer of 100 bytes in
// memory and in the journal, before and after a rewrite, and the time to replay
// it.
func BenchmarkKeptAnswers(b *testing.B) {
	const ids = 50_000
	for range b.N {
		directory := b.TempDir()
		stamp := time.Now()
		config := Config{Directory: directory, Now: func() time.Time { return stamp }}
		before := heapInUse()
		record, err := Open(config)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = record.Begin(shard, 1, whole)
		stamp = stamp.Add(DefaultClockBound)
		var group sync.WaitGroup
		for caller := range uint64(50) {
			group.Go(func() {
				for n := range uint64(ids / 50) {
					var random [10]byte
					binary.BigEndian.PutUint64(random[2:], caller<<32|n)
					id := requestid.New(stamp, random)
					if _, err := record.Admit(context.Background(), shard, 1, id, 7); err != nil {
						b.Error(err)
					}
					record.Finish(shard, id, &Answer{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, 100)})
				}
			})
		}
		group.Wait()
		b.ReportMetric(float64(heapInUse()-before)/ids, "heap-B/id")
		if err := record.Close(); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(journalBytes(b, directory))/ids, "journal-B/id")
		began := time.Now()
		record, err = Open(config)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(began).Microseconds())/ids, "reopen-µs/id")
		_ = record.Close()
		b.ReportMetric(float64(journalBytes(b, directory))/ids, "rewritten-B/id")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

func journalBytes(b *testing.B, directory string) (total int64) {
	segments, err := listSegments(directory)
	if err != nil {
		b.Fatal(err)
	}
	for _, found := range segments {
		info, err := os.Stat(found.path)
		if err != nil {
			b.Fatal(err)
		}
		total += info.Size()
	}
	return total
}

// fullLedger returns a ledger with as many entries as the limits allow, of one
// shard, with answers of 40 bytes.
func fullLedger(b *testing.B) *Ledger {
	ledger := NewLedger(Limits{}, nil)
	at := start.Add(DefaultClockBound)
	_, _ = ledger.Begin(shard, 1, whole, start.UnixMilli())
	for n := range uint64(DefaultMaxEntries) {
		var random [10]byte
		binary.BigEndian.PutUint64(random[2:], n)
		id := requestid.New(at, random)
		if _, err := ledger.Admit(shard, 1, id, 7, at.UnixMilli()); err != nil {
			b.Fatal(err)
		}
		ledger.Finish(shard, id, &Answer{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, 40)})
	}
	ledger.Release(shard, 1)
	return ledger
}

// BenchmarkFullLedger measures how long a full record holds its mutex when the
// journal is rewritten and when a shard's record is exported, and how long the
// import of such a record takes.
func BenchmarkFullLedger(b *testing.B) {
	ledger := fullLedger(b)
	b.Run("changes", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = ledger.Changes()
		}
	})
	transfer, err := ledger.Export(shard, 1, start.UnixMilli())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = ledger.snapshot(shard, 1, start.UnixMilli())
		}
	})
	b.Run("export", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = ledger.Export(shard, 1, start.UnixMilli())
		}
	})
	b.Run("import", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = NewLedger(Limits{}, nil).Import(transfer, start.UnixMilli())
		}
	})
}
