package requesthistory

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// columnFields are the fields that are shown in columns, or not at all.
var columnFields = []string{"time", "level", "msg", "node"}

// Write prints a history, with these columns: seconds since the first line with the
// request's id, process, message and fields. "=>" marks the decisive line, "*" the
// lines with the request's id.
func (h *History) Write(out io.Writer) error {
	start := h.Entries[0].At
	for _, entry := range h.Entries {
		if entry.HasRequestID {
			start = entry.At
			break
		}
	}
	for _, entry := range h.Entries {
		mark := "  "
		switch {
		case entry.Decisive:
			mark = "=>"
		case entry.HasRequestID:
			mark = " *"
		}
		_, err := fmt.Fprintf(out, "%s %8.3f %-16s %s %s\n", mark, entry.At.Sub(start).Seconds(), entry.Node, entry.Message, fieldsText(entry.Fields))
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", h.Cause)
	return err
}

// fieldsText formats fields in the order of their names.
func fieldsText(fields map[string]json.RawMessage) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains(columnFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = name + "=" + strings.Trim(string(fields[name]), `"`)
	}
	return strings.Join(names, " ")
}
