package main

import (
	"encoding/json"
	"fmt"
	"os"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/hollow"
)

// runSlopes runs the subcommand slopes: it fits and prints the growth of benchmarks over their sizes.
func runSlopes(arguments []string, asJSON bool) int {
	if len(arguments) != 1 {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow: slopes requires one FILE with the output of go test -bench")
		return cli.ExitUsage
	}
	file, err := os.Open(arguments[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	defer file.Close()
	slopes, err := hollow.ReadBenchmarks(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(slopes)
		return cli.ExitSuccess
	}
	hollow.PrintBenchmarks(os.Stdout, slopes)
	return cli.ExitSuccess
}

// runTable runs the subcommand table: it prints the results of several files as one report.
func runTable(arguments []string, parsed options) int {
	if len(arguments) == 0 {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow: table requires FILEs written with --output")
		return cli.ExitUsage
	}
	var results []hollow.Result
	for _, name := range arguments {
		content, err := os.ReadFile(name)
		var report hollow.Report
		if err == nil {
			err = json.Unmarshal(content, &report)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "ferryspar-hollow: %s: %s\n", name, err)
			return cli.ExitFailed
		}
		results = append(results, report.Results...)
	}
	if err := parsed.print(hollow.Summarize(results, parsed.Target)); err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	return cli.ExitSuccess
}
