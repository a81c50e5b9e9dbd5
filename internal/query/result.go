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

// Result is the result of a query. Each row has one value per column, nil for NULL.
type Result struct {
	Columns []string
	Rows    [][]any
	// Truncated reports that there were more rows than Limits.MaxRows.
	Truncated bool
}

// jsonResult is the JSON form of a Result. Operators' scripts depend on its field names.
type jsonResult struct {
	Truncated bool             `json:"cut"`
	Rows      []map[string]any `json:"rows"`
}

// WriteTable writes the rows as aligned text below a line of column names. NULL is left blank.
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

// WriteJSON writes one JSON object on one line. Each row is an object with the column names as keys, so only the last of several
// columns with the same name is written.
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
