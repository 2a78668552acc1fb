package requestrecord

import (
	"context"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

var (
	shard = topology.ShardID{Service: 1, Shard: 2}
	whole = Range{Last: math.MaxUint64}
)

// start is the time at which the test clocks begin.
var start = time.UnixMilli(1_800_000_000_000)

// clock is a wall clock that tests advance.
type clock struct {
	mutex sync.Mutex
	now   time.Time
}

func (clock *clock) Now() time.Time {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.now
}

func (clock *clock) advance(by time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.now = clock.now.Add(by)
}

func open(t *testing.T, config Config) *Record {
	t.Helper()
	record, err := Open(config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = record.Close() })
	return record
}

// idAt returns the id with number n and the given time as its stamp.
func idAt(at time.Time, n byte) requestid.ID {
	return requestid.New(at, [10]byte{9: n})
}

func admit(t *testing.T, record *Record, epoch topology.Epoch, id requestid.ID) Verdict {
	t.Helper()
	verdict, err := record.Admit(context.Background(), shard, epoch, id, 7)
	assert.NilError(t, err)
	return verdict
}

// openServing opens a record that serves the shard at epoch 1, and advances its
// clock to the floor.
func openServing(t *testing.T, config Config, wall *clock) *Record {
	t.Helper()
	config.Now = wall.Now
	record := open(t, config)
	continued, err := record.Begin(shard, 1, whole)
	assert.NilError(t, err)
	assert.Assert(t, !continued)
	wall.advance(DefaultClockBound)
	return record
}

func TestSameIDIsAdmittedOnce(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	id := idAt(wall.Now(), 1)
	assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
	assert.Equal(t, admit(t, record, 1, id).Decision, InProgress)
	record.Finish(shard, id, &Answer{Status: http.StatusCreated, Body: []byte("posted")})
	again := admit(t, record, 1, id)
	assert.Equal(t, again.Decision, Answered)
	assert.Equal(t, string(again.Answer.Body), "posted")

	other, err := record.Admit(context.Background(), shard, 1, id, 8)
	assert.NilError(t, err)
	assert.Equal(t, other.Decision, Mismatch)
}

func TestConcurrentResendsAdmitOne(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	id := idAt(wall.Now(), 1)
	var fresh, mutex = 0, sync.Mutex{}
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			verdict, err := record.Admit(context.Background(), shard, 1, id, 7)
			assert.Check(t, err)
			mutex.Lock()
			defer mutex.Unlock()
			if verdict.Decision == Fresh {
				fresh++
			}
		})
	}
	group.Wait()
	assert.Equal(t, fresh, 1)
}

func TestOnlyAbandonFreesID(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	lost, notRun, large := idAt(wall.Now(), 1), idAt(wall.Now(), 2), idAt(wall.Now(), 3)
	for _, id := range []requestid.ID{lost, notRun, large} {
		assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
	}
	record.MarkOutcomeUnknown(shard, lost)
	record.Abandon(shard, notRun)
	record.Finish(shard, large, &Answer{Status: http.StatusOK, Body: make([]byte, DefaultMaxAnswerBytes+1)})
	assert.Equal(t, admit(t, record, 1, lost).Decision, OutcomeUnknown)
	assert.Equal(t, admit(t, record, 1, notRun).Decision, Fresh)
	assert.Equal(t, admit(t, record, 1, large).Decision, AnswerNotKept)
}

// copyJournal simulates the kill of a process: it copies the journal of a record
// that is still open.
func copyJournal(t *testing.T, from string) string {
	t.Helper()
	to := t.TempDir()
	assert.NilError(t, os.CopyFS(to, os.DirFS(from)))
	return to
}

func TestAdmittedIDsSurviveKill(t *testing.T) {
	wall := &clock{now: start}
	directory := t.TempDir()
	record := openServing(t, Config{Directory: directory}, wall)
	answered, running := idAt(wall.Now(), 1), idAt(wall.Now(), 2)
	assert.Equal(t, admit(t, record, 1, answered).Decision, Fresh)
	record.Finish(shard, answered, &Answer{Status: http.StatusOK, Body: []byte("done")})
	assert.Equal(t, admit(t, record, 1, running).Decision, Fresh)

	restarted := open(t, Config{Directory: copyJournal(t, directory), Now: wall.Now})
	_, err := restarted.Admit(context.Background(), shard, 1, idAt(wall.Now(), 3), 7)
	assert.ErrorIs(t, err, ErrNotServing)
	continued, err := restarted.Begin(shard, 1, whole)
	assert.NilError(t, err)
	assert.Assert(t, continued)
	assert.Equal(t, admit(t, restarted, 1, answered).Decision, Answered)
	assert.Equal(t, admit(t, restarted, 1, running).Decision, OutcomeUnknown)
	assert.Equal(t, admit(t, restarted, 1, idAt(wall.Now(), 3)).Decision, Fresh)
}

func TestDamagedJournalRaisesFloor(t *testing.T) {
	for name, damage := range map[string]func(content []byte) []byte{
		"cut off": func(content []byte) []byte { return content[:len(content)-3] },
		"changed": func(content []byte) []byte { content[len(content)-3] ^= 1; return content },
	} {
		t.Run(name, func(t *testing.T) {
			wall := &clock{now: start}
			directory := t.TempDir()
			record := openServing(t, Config{Directory: directory}, wall)
			id := idAt(wall.Now(), 1)
			assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
			assert.NilError(t, record.Close())
			paths, err := filepath.Glob(filepath.Join(directory, segmentPattern))
			assert.NilError(t, err)
			assert.Equal(t, len(paths), 1)
			content, err := os.ReadFile(paths[0])
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(paths[0], damage(content), 0o600))

			restarted := open(t, Config{Directory: directory, Now: wall.Now})
			_, err = restarted.Begin(shard, 1, whole)
			assert.NilError(t, err)
			assert.Equal(t, admit(t, restarted, 1, id).Decision, RecordLost)
		})
	}
}

func TestRecordMovesWithShard(t *testing.T) {
	wall := &clock{now: start}
	newOwner := open(t, Config{Directory: t.TempDir(), Now: wall.Now})
	oldOwner := openServing(t, Config{Directory: t.TempDir()}, wall)
	answered, running := idAt(wall.Now(), 1), idAt(wall.Now(), 2)
	assert.Equal(t, admit(t, oldOwner, 1, answered).Decision, Fresh)
	oldOwner.Finish(shard, answered, &Answer{Status: http.StatusOK, Body: []byte("done")})
	assert.Equal(t, admit(t, oldOwner, 1, running).Decision, Fresh)
	transfer, err := oldOwner.Export(shard, 1)
	assert.NilError(t, err)
	_, err = oldOwner.Admit(context.Background(), shard, 1, idAt(wall.Now(), 3), 7)
	assert.ErrorIs(t, err, ErrNotServing)

	assert.NilError(t, newOwner.Import(transfer))
	_, err = newOwner.Admit(context.Background(), shard, 1, answered, 7)
	assert.ErrorIs(t, err, ErrNotServing, "a record alone must not let an agent serve the shard")
	continued, err := newOwner.Begin(shard, 2, whole)
	assert.NilError(t, err)
	assert.Assert(t, continued)
	assert.Equal(t, admit(t, newOwner, 2, answered).Decision, Answered)
	assert.Equal(t, admit(t, newOwner, 2, running).Decision, OutcomeUnknown)
	assert.Equal(t, admit(t, newOwner, 2, idAt(wall.Now(), 3)).Decision, Fresh)
}

func TestReleasedEpochIsNotServedAfterRestart(t *testing.T) {
	wall := &clock{now: start}
	directory := t.TempDir()
	record := openServing(t, Config{Directory: directory}, wall)
	_, err := record.Export(shard, 1)
	assert.NilError(t, err)
	restarted := open(t, Config{Directory: copyJournal(t, directory), Now: wall.Now})
	_, err = restarted.Begin(shard, 1, whole)
	assert.ErrorIs(t, err, ErrNotServing)
}

func TestLostRecordRefusesIDsThatMayHaveRun(t *testing.T) {
	wall := &clock{now: start}
	oldOwner := openServing(t, Config{Directory: t.TempDir()}, wall)
	id := idAt(wall.Now(), 1)
	assert.Equal(t, admit(t, oldOwner, 1, id).Decision, Fresh)

	// The new owner's clock is behind by the full ClockBound.
	behind := &clock{now: wall.Now().Add(-DefaultClockBound)}
	newOwner := open(t, Config{Directory: t.TempDir(), Now: behind.Now})
	continued, err := newOwner.Begin(shard, 2, whole)
	assert.NilError(t, err)
	assert.Assert(t, !continued)
	behind.advance(time.Hour)
	assert.Equal(t, admit(t, newOwner, 2, idAt(wall.Now().Add(-time.Millisecond), 1)).Decision, RecordLost)
	assert.Equal(t, admit(t, newOwner, 2, idAt(wall.Now().Add(time.Millisecond), 2)).Decision, Fresh)
}

func TestSkippedEpochLosesRecord(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	id := idAt(wall.Now(), 1)
	assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
	record.Finish(shard, id, &Answer{Status: http.StatusOK})
	continued, err := record.Begin(shard, 3, whole)
	assert.NilError(t, err)
	assert.Assert(t, !continued, "another agent owned epoch 2")
	assert.Equal(t, admit(t, record, 3, id).Decision, Answered, "the entry must be kept")
	assert.Equal(t, admit(t, record, 3, idAt(wall.Now(), 2)).Decision, RecordLost)
}

func TestLateTransferLowersFloor(t *testing.T) {
	wall := &clock{now: start}
	newOwner := open(t, Config{Directory: t.TempDir(), Now: wall.Now})
	oldOwner := openServing(t, Config{Directory: t.TempDir()}, wall)
	ran := idAt(wall.Now(), 1)
	assert.Equal(t, admit(t, oldOwner, 1, ran).Decision, Fresh)
	oldOwner.Finish(shard, ran, &Answer{Status: http.StatusOK, Body: []byte("done")})
	transfer, err := oldOwner.Export(shard, 1)
	assert.NilError(t, err)

	_, err = newOwner.Begin(shard, 2, whole)
	assert.NilError(t, err)
	notAdmitted := idAt(wall.Now(), 2)
	assert.Equal(t, admit(t, newOwner, 2, ran).Decision, RecordLost)
	assert.Equal(t, admit(t, newOwner, 2, notAdmitted).Decision, RecordLost)
	assert.NilError(t, newOwner.Import(transfer))
	assert.Equal(t, admit(t, newOwner, 2, ran).Decision, Answered)
	assert.Equal(t, admit(t, newOwner, 2, notAdmitted).Decision, Fresh)
}

// TestLateTransferDoesNotLowerFloorAfterJournalLoss: the new owner admits an id,
// loses its journal and serves again at the same epoch. Then the record of the
// previous owner arrives, which cannot contain that id, so the floor must stay.
func TestLateTransferDoesNotLowerFloorAfterJournalLoss(t *testing.T) {
	for name, early := range map[string]bool{"before begin": true, "after begin": false} {
		t.Run(name, func(t *testing.T) {
			wall := &clock{now: start}
			newOwner := open(t, Config{Directory: t.TempDir(), Now: wall.Now})
			oldOwner := openServing(t, Config{Directory: t.TempDir()}, wall)
			transfer, err := oldOwner.Export(shard, 1)
			assert.NilError(t, err)
			assert.NilError(t, newOwner.Import(transfer))
			_, err = newOwner.Begin(shard, 2, whole)
			assert.NilError(t, err)
			ran := idAt(wall.Now(), 1)
			assert.Equal(t, admit(t, newOwner, 2, ran).Decision, Fresh)

			restarted := open(t, Config{Directory: t.TempDir(), Now: wall.Now})
			if early {
				assert.NilError(t, restarted.Import(transfer))
			}
			_, err = restarted.Begin(shard, 2, whole)
			assert.NilError(t, err)
			if !early {
				assert.NilError(t, restarted.Import(transfer))
			}
			assert.Equal(t, admit(t, restarted, 2, ran).Decision, RecordLost)
		})
	}
}

func TestTransferAfterEpochGapAddsEntriesOnly(t *testing.T) {
	wall := &clock{now: start}
	oldOwner := openServing(t, Config{Directory: t.TempDir()}, wall)
	transfer, err := oldOwner.Export(shard, 1)
	assert.NilError(t, err)
	newOwner := open(t, Config{Directory: t.TempDir(), Now: wall.Now})
	_, err = newOwner.Begin(shard, 3, whole)
	assert.NilError(t, err)
	assert.NilError(t, newOwner.Import(transfer))
	assert.Equal(t, admit(t, newOwner, 3, idAt(wall.Now(), 1)).Decision, RecordLost)
	assert.ErrorContains(t, newOwner.Import(wire.RecordTransfer{Shard: shard}), "unfinished")
}

func TestSplitAndMergeKeepEntries(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	id := idAt(wall.Now(), 1)
	assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
	record.Finish(shard, id, &Answer{Status: http.StatusOK})

	const middle = 1 << 63
	left, right := Range{Last: middle - 1}, Range{Start: middle, Last: math.MaxUint64}
	part := topology.ShardID{Service: 1, Shard: 9}
	continued, err := record.Begin(part, 2, right)
	assert.NilError(t, err)
	assert.Assert(t, continued)
	_, err = record.Admit(context.Background(), shard, 1, idAt(wall.Now(), 8), 7)
	assert.ErrorIs(t, err, ErrNotServing, "the new shard would have no entry for it")
	continued, err = record.Begin(shard, 2, left)
	assert.NilError(t, err)
	assert.Assert(t, continued)
	verdict, err := record.Admit(context.Background(), part, 2, id, 7)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Decision, Answered)

	onlyInPart := idAt(wall.Now(), 2)
	verdict, err = record.Admit(context.Background(), part, 2, onlyInPart, 7)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Decision, Fresh)
	record.Finish(part, onlyInPart, &Answer{Status: http.StatusOK})
	continued, err = record.Begin(shard, 3, whole)
	assert.NilError(t, err)
	assert.Assert(t, !continued, "the next epoch does not prove that the record of the merged shard is complete")
	assert.Equal(t, admit(t, record, 3, onlyInPart).Decision, Answered)
	assert.Equal(t, admit(t, record, 3, idAt(wall.Now(), 3)).Decision, RecordLost)
}

func TestDroppedEntriesRaiseFloor(t *testing.T) {
	t.Run("by count", func(t *testing.T) {
		wall := &clock{now: start}
		record := openServing(t, Config{Directory: t.TempDir(), Limits: Limits{MaxEntries: 3}}, wall)
		first := idAt(wall.Now(), 0)
		for n := range byte(5) {
			assert.Equal(t, admit(t, record, 1, idAt(wall.Now(), n)).Decision, Fresh)
			wall.advance(time.Millisecond)
		}
		assert.Equal(t, admit(t, record, 1, first).Decision, RecordLost)
		assert.Equal(t, record.Stats().Entries, 3)
	})
	t.Run("by age", func(t *testing.T) {
		wall := &clock{now: start}
		record := openServing(t, Config{Directory: t.TempDir(), Limits: Limits{Retention: time.Minute}}, wall)
		first := idAt(wall.Now(), 0)
		assert.Equal(t, admit(t, record, 1, first).Decision, Fresh)
		wall.advance(time.Minute + time.Millisecond)
		assert.Equal(t, admit(t, record, 1, idAt(wall.Now(), 1)).Decision, Fresh)
		assert.Equal(t, admit(t, record, 1, first).Decision, RecordLost)
	})
	t.Run("by kept bytes", func(t *testing.T) {
		wall := &clock{now: start}
		record := openServing(t, Config{Directory: t.TempDir(), Limits: Limits{MaxKeptBytes: 10}}, wall)
		for n := range byte(3) {
			id := idAt(wall.Now(), n)
			assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
			record.Finish(shard, id, &Answer{Status: http.StatusOK, Body: make([]byte, 6)})
		}
		assert.Equal(t, admit(t, record, 1, idAt(wall.Now(), 9)).Decision, RecordLost)
		assert.Assert(t, record.Stats().KeptBytes <= 12)
	})
}

func TestFutureStampsAreWaitedForOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record, err := Open(Config{Directory: t.TempDir()})
		assert.NilError(t, err)
		defer record.Close()
		_, err = record.Begin(shard, 1, whole)
		assert.NilError(t, err)
		time.Sleep(DefaultClockBound)
		began := time.Now()
		ahead := idAt(began.Add(DefaultClockBound), 1)
		assert.Equal(t, admit(t, record, 1, ahead).Decision, Fresh)
		assert.Equal(t, time.Since(began), DefaultClockBound)
		_, err = record.Admit(context.Background(), shard, 1, idAt(time.Now().Add(time.Second), 2), 7)
		assert.ErrorIs(t, err, ErrFuture)
	})
}

func TestJournalIsRewrittenWithoutLoss(t *testing.T) {
	wall := &clock{now: start}
	directory := t.TempDir()
	record := openServing(t, Config{Directory: directory, RewriteBytes: 4 << 10}, wall)
	const count = 100
	for n := range byte(count) {
		id := idAt(wall.Now(), n)
		assert.Equal(t, admit(t, record, 1, id).Decision, Fresh)
		record.Finish(shard, id, &Answer{Status: http.StatusOK, Body: []byte{n}})
	}
	assert.NilError(t, record.Close())
	segments, err := listSegments(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(segments), 1)
	assert.Assert(t, segments[0].number > 1)

	restarted := open(t, Config{Directory: directory, Now: wall.Now})
	_, err = restarted.Begin(shard, 1, whole)
	assert.NilError(t, err)
	for n := range byte(count) {
		verdict := admit(t, restarted, 1, idAt(wall.Now(), n))
		assert.Equal(t, verdict.Decision, Answered)
		assert.DeepEqual(t, verdict.Answer.Body, []byte{n})
	}
	assert.Equal(t, restarted.Stats().KeptBytes, count)
}

func TestFailedJournalAdmitsNothing(t *testing.T) {
	wall := &clock{now: start}
	record := openServing(t, Config{Directory: t.TempDir()}, wall)
	assert.NilError(t, record.journal.file.Close())
	_, err := record.Admit(context.Background(), shard, 1, idAt(wall.Now(), 1), 7)
	assert.ErrorIs(t, err, ErrJournal)
	_, err = record.Export(shard, 1)
	assert.ErrorIs(t, err, ErrJournal)
}
