package requesthistory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes is the longest line that is read; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Node    string
	Message string

	Request  string
	Instance string
	Reason   string
	Service  string
	Key      string
	// Status is the HTTP status that the caller received, Took the time from the
	// request to the answer.
	Status int
	Took   time.Duration
	Tries  []Try
	// First and Last are the key range that the line is about; HasRange is false if
	// there is none.
	First, Last uint32
	HasRange    bool
	// Fields holds all fields of the line as raw JSON.
	Fields map[string]json.RawMessage
}

// Try is one attempt to run a request, as the last line of the request lists it.
type Try struct {
	Instance string `json:"instance"`
	Node     string `json:"node"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
}

// lineBody has the JSON fields of a line that are used.
type lineBody struct {
	Time     time.Time       `json:"time"`
	Node     string          `json:"node"`
	Message  string          `json:"msg"`
	Request  string          `json:"request"`
	Instance string          `json:"instance"`
	Reason   string          `json:"reason"`
	Service  string          `json:"service"`
	Key      json.RawMessage `json:"key"`
	Status   int             `json:"status"`
	TookMS   int64           `json:"took_ms"`
	Tries    []Try           `json:"tries"`
	First    *uint32         `json:"first"`
	Last     *uint32         `json:"last"`
}

// Read returns the lines of a log that are JSON with a message, in their order. It
// skips other lines.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("after %d lines: %w", len(lines), err)
	}
	return lines, nil
}

// parseLine parses the JSON in a line, and reports whether it has a message.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var body lineBody
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[start:], &body) != nil || json.Unmarshal(text[start:], &fields) != nil || body.Message == "" {
		return Line{}, false
	}
	line := Line{
		At: body.Time, Node: body.Node, Message: body.Message,
		Request: body.Request, Instance: body.Instance, Reason: body.Reason, Service: body.Service,
		Key: string(bytes.Trim(body.Key, `"`)), Tries: body.Tries, Fields: fields,
		Status: body.Status, Took: time.Duration(body.TookMS) * time.Millisecond,
	}
	if body.First != nil && body.Last != nil {
		line.First, line.Last, line.HasRange = *body.First, *body.Last, true
	}
	return line, true
}
