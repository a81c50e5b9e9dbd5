package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// tableIndent is the indentation of a table's lines below its title.
const tableIndent = "  "

// table is a text table with a title. Cells must not contain tabs.
type table struct {
	title   string
	columns []string
	rows    [][]string
}

func newTable(title string, columns ...string) *table {
	return &table{title: title, columns: columns}
}

// addRow appends a row, with one value for each column.
func (t *table) addRow(values ...any) {
	cells := make([]string, len(values))
	for index, value := range values {
		cells[index] = fmt.Sprint(value)
	}
	t.rows = append(t.rows, cells)
}

// write prints an empty line, the title, the names of the columns and the rows.
func (t *table) write(target io.Writer) {
	fmt.Fprintln(target, "\n"+t.title)
	writer := tabwriter.NewWriter(target, 2, 4, 2, ' ', 0)
	defer writer.Flush()
	fmt.Fprintln(writer, tableIndent+strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, tableIndent+strings.Join(row, "\t"))
	}
}
