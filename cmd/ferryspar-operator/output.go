package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// acknowledged is printed once a change is committed.
const acknowledged = "acknowledged"

// printTable prints a title and an aligned table below it. columns are separated by spaces; fill is given
// the function that adds a row.
func printTable(title, columns string, fill func(addRow func(cells ...any))) {
	fmt.Println("\n" + title)
	writer := tabwriter.NewWriter(os.Stdout, 2, 4, 2, ' ', 0)
	defer writer.Flush()
	fmt.Fprintln(writer, "  "+strings.ReplaceAll(columns, " ", "\t"))
	fill(func(cells ...any) {
		words := make([]string, len(cells))
		for index, cell := range cells {
			words[index] = fmt.Sprint(cell)
		}
		fmt.Fprintln(writer, "  "+strings.Join(words, "\t"))
	})
}
