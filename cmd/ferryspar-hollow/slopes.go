package main

import (
	"encoding/json"
	"fmt"
	"os"

	"ferryspar/internal/cli"
	"ferryspar/internal/sim/hollow"
)

func slopes(arguments []string, asJSON bool) int {
	if len(arguments) != 1 {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow: slopes takes one FILE, the output of go test -bench")
		return cli.ExitUsage
	}
	file, err := os.Open(arguments[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	defer file.Close()
	fitted, err := hollow.ReadBench(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(fitted)
		return cli.ExitSuccess
	}
	hollow.PrintBench(os.Stdout, fitted)
	return cli.ExitSuccess
}

func table(arguments []string, chosen options) int {
	if len(arguments) == 0 {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow: table takes FILEs written with --output")
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
	if err := chosen.print(hollow.Summarize(results, chosen.Target)); err != nil {
		fmt.Fprintln(os.Stderr, "ferryspar-hollow:", err)
		return cli.ExitFailed
	}
	return cli.ExitSuccess
}
