// Package logbuffer takes log lines without ever holding up who writes them. A
// reader of the log that stands still costs lines, which are counted and
// reported, and nothing else.
package logbuffer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is how many lines wait at most.
	DefaultLines = 4096
	// maxBatch bounds one write, in bytes.
	maxBatch = 32 << 10
)

// Writer passes lines on to another writer from a goroutine of its own. Each
// call of Write is one line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// lost counts what was dropped since the start.
	lost    atomic.Int64
	closing chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// New returns a Writer in front of out that keeps at most a number of lines.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), closing: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails: a line that finds
// no room is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
		w.lost.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines dropped since they were last reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Lost counts the lines dropped since the start.
func (w *Writer) Lost() int64 { return w.lost.Load() }

// Close passes on what waits, for at most a time.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.ended:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closing:
			select {
			case line := <-w.lines:
				w.pass(line)
			default:
				return
			}
		}
	}
}

// pass writes a line together with those that wait behind it.
func (w *Writer) pass(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	_, _ = w.out.Write(batch)
}
