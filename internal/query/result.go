package query

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnPadding is the space between two columns of a printed table.
const columnPadding = 2

// Result is the answer to a query. Each row has one value for each column, nil for SQL's NULL.
type Result struct {
	Columns []string
	Rows    [][]any
	// Truncated says that there were more rows than Limits.MaxRows.
	Truncated bool
}

// jsonResult is the form of a Result in JSON. Its names are fixed, because operators' scripts read them.
type jsonResult struct {
	Truncated bool             `json:"cut"`
	Rows      []map[string]any `json:"rows"`
}

// WriteTable writes the rows as aligned text under a line of column names, with nothing in place of NULL.
func (r Result) WriteTable(target io.Writer) error {
	writer := tabwriter.NewWriter(target, 0, 4, columnPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		cells := make([]string, len(row))
		for index, value := range row {
			if value != nil {
				cells[index] = fmt.Sprint(value)
			}
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	return writer.Flush()
}

// WriteJSON writes one JSON object on one line. Each row is an object by column name, so of several columns with
// the same name only the last is written.
func (r Result) WriteJSON(target io.Writer) error {
	rows := make([]map[string]any, 0, len(r.Rows))
	for _, row := range r.Rows {
		object := make(map[string]any, len(r.Columns))
		for index, column := range r.Columns {
			object[column] = row[index]
		}
		rows = append(rows, object)
	}
	return json.NewEncoder(target).Encode(jsonResult{Truncated: r.Truncated, Rows: rows})
}
