package query

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the rows as aligned text.
func (r Result) WriteTable(writer io.Writer) error {
	aligned := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		cells := make([]string, len(row))
		for position, value := range row {
			if value != nil {
				cells[position] = fmt.Sprint(value)
			}
		}
		fmt.Fprintln(aligned, strings.Join(cells, "\t"))
	}
	return aligned.Flush()
}

// WriteJSON writes the rows as WriteJSON objects by column name.
func (r Result) WriteJSON(writer io.Writer) error {
	rows := make([]map[string]any, 0, len(r.Rows))
	for _, row := range r.Rows {
		object := map[string]any{}
		for position, column := range r.Columns {
			object[column] = row[position]
		}
		rows = append(rows, object)
	}
	return json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "cut": r.Truncated})
}
