package requesthistory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLine bounds one line, in bytes; longer ones end the reading.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Message string

	Request  string
	Instance string
	Reason   string
	Service  string
	Key      string
	// Status is what the caller got, Took how long that was on its way.
	Status int
	Took   time.Duration
	Tries  []Try
	// First and Last are the range of keys that the line tells of; HasRange is
	// unset where there is none.
	First, Last uint32
	HasRange    bool
	// Fields has all fields as they were written.
	Fields map[string]json.RawMessage
}

// Try is one try of a request, as its last line lists it.
type Try struct {
	Instance string `json:"instance"`
	Node     string `json:"node"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
}

// lineBody has the fields that are used.
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

// Read returns the lines of a log that are JSON with a message, in their order.
// Others are passed over.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, maxLine/16), maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("after %d lines: %w", len(lines), err)
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
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
