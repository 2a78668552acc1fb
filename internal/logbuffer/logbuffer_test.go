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

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mutex   sync.Mutex
	content bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.content.Write(p)
}

// A blocked output must not block writers; the dropped lines are reported once it
// accepts writes again.
func TestBlockedOutputOnlyDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{unblock: make(chan struct{})}
		w := New(output, 10)
		start := time.Now()
		for i := range 100 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, time.Since(start), time.Duration(0), "no write blocked")
		assert.Assert(t, w.UnreportedDrops() >= 88, "%d", w.UnreportedDrops())
		close(output.unblock)
		w.Close(time.Minute)
		assert.Assert(t, strings.Contains(output.content.String(), `"msg":"log lines dropped","count":`), "%s", output.content.String())
		assert.Equal(t, w.UnreportedDrops(), int64(0))
	})
}

func TestLinesKeepOrderAndCloseReturnsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{unblock: make(chan struct{})}
		w := New(output, 10)
		_, _ = w.Write([]byte("one\n"))
		_, _ = w.Write([]byte("two\n"))
		start := time.Now()
		w.Close(time.Second)
		assert.Equal(t, time.Since(start), time.Second)
		close(output.unblock)
		synctest.Wait()
		assert.Equal(t, output.content.String(), "one\ntwo\n")
	})
}
