package hollow

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// BenchmarkFit is a power law fitted to a figure of a benchmark over a size: value = factor × size^Exponent. Fit is the R² of
// the fit to the logarithms.
type BenchmarkFit struct {
	Benchmark string    `json:"benchmark"`
	SizeName  string    `json:"along"`
	Figure    string    `json:"figure"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Exponent  float64   `json:"exponent"`
	Fit       float64   `json:"fit"`
}

var (
	// benchLine matches the result line of a benchmark such as BenchmarkName/edges=80-4.
	benchLine = regexp.MustCompile(`^Benchmark(\w+)/(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)
	// benchUnits is the order in which figures are printed.
	benchUnits = []string{"ns/op", "B/op", "bytes/message", "bytes/answer"}
)

// ReadBenchmarks reads the output of go test -bench and fits every benchmark with sizes. It returns an error if there is none.
func ReadBenchmarks(input io.Reader) ([]BenchmarkFit, error) {
	found := map[[3]string]map[float64][]float64{}
	lines := bufio.NewScanner(input)
	for lines.Scan() {
		parts := benchLine.FindStringSubmatch(lines.Text())
		if parts == nil {
			continue
		}
		size, err := strconv.ParseFloat(parts[3], 64)
		if err != nil {
			return nil, errors.Wrap(err, lines.Text())
		}
		words := strings.Fields(parts[4])
		for position := 0; position+1 < len(words); position += 2 {
			value, err := strconv.ParseFloat(words[position], 64)
			if err != nil {
				return nil, errors.Wrap(err, lines.Text())
			}
			key := [3]string{parts[1], parts[2], words[position+1]}
			if found[key] == nil {
				found[key] = map[float64][]float64{}
			}
			found[key][size] = append(found[key][size], value)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, errors.New("no benchmark lines of the form BenchmarkName/edges=80")
	}
	return fitBench(found), nil
}

// fitBench fits a power law to the medians of the sizes, by benchmark, name of the size and unit.
func fitBench(found map[[3]string]map[float64][]float64) []BenchmarkFit {
	var slopes []BenchmarkFit
	for key, sizes := range found {
		slope := BenchmarkFit{Benchmark: key[0], SizeName: key[1], Figure: key[2]}
		for size := range sizes {
			slope.Sizes = append(slope.Sizes, size)
		}
		sort.Float64s(slope.Sizes)
		for _, size := range slope.Sizes {
			sort.Float64s(sizes[size])
			slope.Values = append(slope.Values, sizes[size][len(sizes[size])/2])
		}
		slope.Exponent, slope.Fit, _ = FitPowerLaw(slope.Sizes, slope.Values)
		slopes = append(slopes, slope)
	}
	rank := func(figure string) int {
		for position, unit := range benchUnits {
			if unit == figure {
				return position
			}
		}
		return len(benchUnits)
	}
	sort.Slice(slopes, func(left, right int) bool {
		fitted, other := slopes[left], slopes[right]
		if fitted.Benchmark+fitted.SizeName != other.Benchmark+other.SizeName {
			return fitted.Benchmark+fitted.SizeName < other.Benchmark+other.SizeName
		}
		return rank(fitted.Figure) < rank(other.Figure)
	})
	return slopes
}

// PrintBenchmarks writes the fits as a table. It omits the number of allocations.
func PrintBenchmarks(output io.Writer, slopes []BenchmarkFit) {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "benchmark\talong\tfigure\tsizes\tvalues\texponent\tfit")
	for _, fitted := range slopes {
		if fitted.Figure == "allocs/op" {
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%.4g", fitted.Benchmark, fitted.SizeName, fitted.Figure, fitted.Sizes, fitted.Values)
		fmt.Fprintf(table, "\t%.2f\t%.2f\n", fitted.Exponent, fitted.Fit)
	}
	_ = table.Flush()
}
