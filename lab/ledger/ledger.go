// Package ledger records what callers were told and what back ends did, and
// checks the product's promises from both. Every process of the lab appends
// lines of JSON to a file of its own, so that a killed process loses nothing
// it has written.
//
// Times are Unix nanoseconds of the one machine that the lab runs on; they
// order entries of different processes.
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

// Kind says what a back end did.
type Kind string

// Kinds of back end entries.
const (
	// KindRun is written when a back end starts to run a request.
	KindRun Kind = "run"
	// KindWrite is written when the effect of a request is kept.
	KindWrite Kind = "write"
	// KindAbandoned is written when a run ended without keeping its effect.
	KindAbandoned Kind = "abandoned"
	// KindOverSlots is written when a request came while all slots were busy.
	KindOverSlots Kind = "over-slots"
	// KindOverConnections is written when a connection over the limit came.
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

// CallerEntry is one attempt of a caller, written when it ended. A resend of
// the same request has the same RequestID and the next Attempt.
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
	// Damage says what was wrong with an answer that was reported as whole.
	Damage string `json:"damage,omitempty"`
	// Error is the client's own error, where no answer came.
	Error string `json:"error,omitempty"`
}

// Writer appends entries to a file. It may be used by many goroutines.
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
		return nil, fmt.Errorf("ledgers %q: %w", pattern, err)
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

// readFile reads whole lines; a killed process may leave a last line without
// its end, which is left out.
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
			return nil, fmt.Errorf("ledger %s: %w", path, err)
		}
		entries = append(entries, entry)
	}
}
