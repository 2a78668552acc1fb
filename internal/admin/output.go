package admin

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// table holds the header and the rows of a printed table.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row. Cells are printed in their default format, empty ones as "-".
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// write prints the table with aligned columns.
func (t *table) write(out io.Writer) error {
	const minimumWidth, tabWidth, padding = 0, 8, 2
	aligned := tabwriter.NewWriter(out, minimumWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	return aligned.Flush()
}

// writeJSON prints a message as JSON with the field names of the schema.
func writeJSON(out io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return fmt.Errorf("JSON of the answer: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// writeAge prints the revision of an answer and how current it is.
func writeAge(out io.Writer, age *quartzdockv1.ReadAge) {
	if age.GetLinearizable() {
		fmt.Fprintf(out, "at revision %d, the newest\n", age.GetRevision())
		return
	}
	fmt.Fprintf(out, "at revision %d, the newest known %s ago: no quorum of controllers can be reached\n",
		age.GetRevision(), age.GetLeaderContact().AsDuration())
}

// formatLocation returns "region/zone/rack" without empty trailing parts.
func formatLocation(location *quartzdockv1.Location) string {
	parts := []string{location.GetRegion(), location.GetZone(), location.GetRack()}
	return strings.TrimRight(strings.Join(parts, "/"), "/")
}

// formatEnum returns an enum's value without its type's prefix, in lower case.
func formatEnum(value fmt.Stringer, prefix string) string {
	text := strings.TrimPrefix(value.String(), prefix)
	return strings.ToLower(strings.ReplaceAll(text, "_", "-"))
}

// yesNo returns "yes" or "no".
func yesNo(condition bool) string {
	if condition {
		return "yes"
	}
	return "no"
}
