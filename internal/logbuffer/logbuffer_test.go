package logbuffer

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stuckReader takes nothing until it is let go.
type stuckReader struct {
	let     chan struct{}
	mutex   sync.Mutex
	content bytes.Buffer
}

func (r *stuckReader) Write(p []byte) (int, error) {
	<-r.let
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.content.Write(p)
}

// A reader that stands still holds nobody up; what was lost is told.
func TestAStuckReaderCostsLinesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &stuckReader{let: make(chan struct{})}
		w := New(reader, 10)
		began := time.Now()
		for i := range 100 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, time.Since(began), time.Duration(0), "nothing waited")
		assert.Assert(t, w.Dropped() >= 88, "%d", w.Dropped())
		close(reader.let)
		w.Close(time.Minute)
		assert.Assert(t, strings.Contains(reader.content.String(), `"msg":"log lines dropped","count":`), "%s", reader.content.String())
		assert.Equal(t, w.Dropped(), int64(0))
	})
}

func TestLinesKeepTheirOrderAndCloseEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &stuckReader{let: make(chan struct{})}
		w := New(reader, 10)
		_, _ = w.Write([]byte("one\n"))
		_, _ = w.Write([]byte("two\n"))
		began := time.Now()
		w.Close(time.Second)
		assert.Equal(t, time.Since(began), time.Second)
		close(reader.let)
		synctest.Wait()
		assert.Equal(t, reader.content.String(), "one\ntwo\n")
	})
}
