package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Print writes the figures of all variants as a table.
func (s Summary) Print(output io.Writer) error {
	fmt.Fprintf(output, "%s: emulated, %d seeds from %d; mean ± half of the 95%% interval, ", s.Name, s.Seeds, s.FirstSeed)
	fmt.Fprintf(output, "in brackets the paired difference to %q\n\n", s.Variants[0].Name)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "figure")
	for _, variant := range s.Variants {
		fmt.Fprintf(table, "\t%s", variant.Name)
	}
	fmt.Fprintln(table)
	for _, figure := range s.Variants[0].Figures {
		fmt.Fprint(table, figure.Name)
		for _, variant := range s.Variants {
			fmt.Fprintf(table, "\t%s", variant.cell(figure.Name))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// cell returns the table cell of a figure, or a dash if the variant does not have it.
func (v VariantSummary) cell(name string) string {
	index := slices.IndexFunc(v.Figures, func(figure Figure) bool { return figure.Name == name })
	if index < 0 {
		return "-"
	}
	figure := v.Figures[index]
	text := number(figure.Estimate.Mean) + " ± " + number(figure.Estimate.HalfWidth)
	if figure.Difference != nil {
		text += fmt.Sprintf(" (%s ± %s)", signed(figure.Difference.Mean), number(figure.Difference.HalfWidth))
	}
	return text
}

// number formats a value with about three significant digits.
func number(value float64) string {
	switch size := max(value, -value); {
	case size >= 100:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.3f", value)
}

// signed formats a value with an explicit sign.
func signed(value float64) string {
	if value >= 0 {
		return "+" + number(value)
	}
	return number(value)
}

// Write writes the summary, its table and its plots to the directory, and all runs if raw is set.
func (s Summary) Write(directory string, all []VariantRuns, raw bool) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "results")
	}
	files := map[string]any{"summary.json": s}
	if raw {
		files["runs.json"] = all
	}
	for name, content := range files {
		written, err := json.Marshal(content)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if err := os.WriteFile(filepath.Join(directory, name), append(written, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "results")
		}
	}
	table, err := os.Create(filepath.Join(directory, "table.txt"))
	if err != nil {
		return errors.Wrap(err, "results")
	}
	defer table.Close()
	if err := s.Print(table); err != nil {
		return errors.Wrap(err, "results")
	}
	return s.draw(directory)
}

// PrintComparisons writes the comparisons as a table.
func PrintComparisons(output io.Writer, found []Comparison) error {
	fmt.Fprint(output, "forecast against an emulated loss; mean ± half of the 95% interval over seeds\n\n")
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "size\tfigure\tmethod\ttruth\terror\tabsolute error\trelative error\tflags")
	for _, comparison := range found {
		fmt.Fprintf(table, "%d\t%s\t%s", comparison.Size, comparison.Figure, comparison.Method)
		for _, shown := range []Estimate{comparison.MeanTruth, comparison.Error, comparison.AbsoluteError} {
			fmt.Fprintf(table, "\t%s ± %s", number(shown.Mean), number(shown.HalfWidth))
		}
		if comparison.RelativeError == nil {
			fmt.Fprint(table, "\t-")
		} else {
			fmt.Fprintf(table, "\t%.0f%% ± %.0f%%", 100*comparison.RelativeError.Mean, 100*comparison.RelativeError.HalfWidth)
		}
		fmt.Fprintf(table, "\t%s\n", strings.Join(comparison.Flags, ", "))
	}
	return table.Flush()
}
