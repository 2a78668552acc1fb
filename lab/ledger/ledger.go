// Package ledger records the outcomes that callers saw and the requests that
// back ends ran, and checks the product's promises by comparing the two. Every
// process of the lab appends lines of JSON to its own file, so that a killed
// process loses nothing it has written.
//
// Times are Unix nanoseconds. All processes of the lab run on one machine, so
// times order the entries of different processes.
package ledger

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Kind is the kind of event that a back end recorded.
type Kind string

// Kinds of back end entries.
const (
	// KindRun is written when a back end starts to run a request.
	KindRun Kind = "run"
	// KindWrite is written when the effect of a request is stored.
	KindWrite Kind = "write"
	// KindAbandoned is written when a run ends without storing its effect.
	KindAbandoned Kind = "abandoned"
	// KindOverSlots is written when a request arrives while all slots are in use.
	KindOverSlots Kind = "over-slots"
	// KindOverConnections is written when a connection exceeds the limit.
	KindOverConnections Kind = "over-connections"
)

// BackendEntry is one line of a back end's ledger.
type BackendEntry struct {
	Time      int64          `json:"time"`
	Kind      Kind           `json:"kind"`
	Backend   string         `json:"backend"`
	RequestID string         `json:"request_id,omitempty"`
	Service   string         `json:"service,omitempty"`
	Operation string         `json:"operation,omitempty"`
	Key       string         `json:"key,omitempty"`
	Shard     string         `json:"shard,omitempty"`
	Epoch     topology.Epoch `json:"epoch,omitempty"`
	Reason    string         `json:"reason,omitempty"`
}

// CallerEntry is one attempt of a caller, written when the attempt ends. A
// resend of a request has the same RequestID and the next Attempt.
type CallerEntry struct {
	// Due is when the request was due by the open-loop schedule; Sent is when
	// this attempt was sent; Done is when it ended.
	Due           int64        `json:"due"`
	Sent          int64        `json:"sent"`
	Done          int64        `json:"done"`
	RequestID     string       `json:"request_id"`
	Attempt       int          `json:"attempt"`
	Router        string       `json:"router"`
	Service       string       `json:"service"`
	Operation     string       `json:"operation"`
	Key           string       `json:"key"`
	NonRepeatable bool         `json:"non_repeatable,omitempty"`
	Bulk          bool         `json:"bulk,omitempty"`
	Status        int          `json:"status,omitempty"`
	Outcome       wire.Outcome `json:"outcome"`
	Reason        wire.Reason  `json:"reason,omitempty"`
	// Damage describes what is wrong with an answer that was reported as complete.
	Damage string `json:"damage,omitempty"`
	// Error is the client's own error if no answer came.
	Error string `json:"error,omitempty"`
}

// Writer appends entries to a file. It is safe for concurrent use.
type Writer struct {
	mutex sync.Mutex
	file  *os.File
}

// OpenWriter opens the file at path for appending. An empty path discards all
// entries.
func OpenWriter(path string) (*Writer, error) {
	if path == "" {
		return &Writer{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open ledger: %w", err)
	}
	return &Writer{file: file}, nil
}

// Append writes one entry with a single system call.
func (w *Writer) Append(entry any) error {
	if w.file == nil {
		return nil
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode ledger entry: %w", err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("append ledger entry: %w", err)
	}
	return nil
}

// Close closes the file.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// ReadBackends reads the back end ledgers that match a file pattern.
func ReadBackends(pattern string) ([]BackendEntry, error) { return readAll[BackendEntry](pattern) }

// ReadCallers reads the caller ledgers that match a file pattern.
func ReadCallers(pattern string) ([]CallerEntry, error) { return readAll[CallerEntry](pattern) }

func readAll[Entry any](pattern string) ([]Entry, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, fmt.Errorf("ledger file pattern %q: %w", pattern, err)
	}
	var all []Entry
	for _, path := range paths {
		entries, err := readFile[Entry](path)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

// readFile reads all complete lines. It ignores a partial last line, which a
// killed process may leave.
func readFile[Entry any](path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open ledger: %w", err)
	}
	defer file.Close()
	var entries []Entry
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read ledger %s: %w", path, err)
		}
		var entry Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			return nil, fmt.Errorf("decode ledger %s: %w", path, err)
		}
		entries = append(entries, entry)
	}
}
