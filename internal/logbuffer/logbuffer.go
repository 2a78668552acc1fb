// Package logbuffer buffers log lines so that writing one never blocks. If the
// output is blocked, lines are dropped, counted and reported.
package logbuffer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is the default capacity of the queue, in lines.
	DefaultLines = 4096
	// maxBatchBytes is the size from which no more lines are added to one write.
	maxBatchBytes = 32 << 10
)

// Writer writes lines to another writer in a goroutine of its own. Each call of
// Write is one line.
type Writer struct {
	out             io.Writer
	queue           chan []byte
	unreportedDrops atomic.Int64
	// totalDropped counts the lines dropped since the start.
	totalDropped atomic.Int64
	closing      chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
}

// New returns a Writer for out whose queue has a capacity in lines.
func New(out io.Writer, capacity int) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails: a line that
// does not fit the queue is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.unreportedDrops.Add(1)
		w.totalDropped.Add(1)
	}
	return len(line), nil
}

// UnreportedDrops returns the number of lines dropped since they were last reported.
func (w *Writer) UnreportedDrops() int64 { return w.unreportedDrops.Load() }

// TotalDropped returns the number of lines dropped since the start.
func (w *Writer) TotalDropped() int64 { return w.totalDropped.Load() }

// Close writes the queued lines and returns when they are written, or after the
// timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		case <-w.closing:
			select {
			case line := <-w.queue:
				w.writeBatch(line)
			default:
				return
			}
		}
	}
}

// writeBatch writes a line together with the ones queued behind it, and reports
// dropped lines.
func (w *Writer) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := w.unreportedDrops.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	_, _ = w.out.Write(batch)
}
