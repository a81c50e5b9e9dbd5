// Command ferryspar-modelcheck walks every order of events in small fleets of the control state,
// within stated bounds, and says whether the agreement holds in each.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"ferryspar/internal/cli"
	"ferryspar/internal/test/modelcheck"
)

const programName = "ferryspar-modelcheck"

// The exit statuses besides those of every program.
const (
	// exitViolated says that an invariant failed in some scenario.
	exitViolated = 1
	// exitStopped says that a limit came before the bound of a scenario.
	exitStopped = 4
)

// The names that stand for several scenarios.
const (
	allScenarios   = "all"
	shortScenarios = "short"
)

type options struct {
	Scenario string        `long:"scenario" default:"all" description:"name of a scenario, short for those that take seconds, or all"`
	Depth    int           `long:"depth" description:"events in a row at most (default: no bound)"`
	States   int           `long:"states" description:"worlds visited at most for each scenario (default: no bound)"`
	For      time.Duration `long:"for" description:"time for each scenario at most (default: no bound)"`
	JSON     bool          `long:"json" description:"print one JSON object for each scenario"`
	List     bool          `long:"list" description:"list the scenarios and end"`
	Version  bool          `long:"version" description:"print the version and end"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run carries out the command line and returns the exit status.
func run(arguments []string) int {
	var chosen options
	parser := flags.NewParser(&chosen, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	parser.LongDescription = "Walks every order of events in small fleets of the control state. " +
		"Status 0: all visited, nothing violated; 1: violated; 4: stopped before the bound."
	if _, err := parser.ParseArgs(arguments); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return cli.ExitSuccess
		}
		return usageError(err.Error())
	}
	switch {
	case chosen.Version:
		fmt.Println(programName, cli.Version)
		return cli.ExitSuccess
	case chosen.List:
		listScenarios()
		return cli.ExitSuccess
	}
	scenarios := selectScenarios(chosen.Scenario)
	if len(scenarios) == 0 {
		return usageError(fmt.Sprintf("no scenario %q, see --list", chosen.Scenario))
	}
	return searchAll(chosen, scenarios)
}

func usageError(message string) int {
	fmt.Fprintf(os.Stderr, "%s: %s\n", programName, message)
	return cli.ExitUsage
}

func listScenarios() {
	for _, scenario := range modelcheck.Scenarios() {
		fmt.Printf("%-24s %s\n", scenario.Name, scenario.Summary)
	}
}

// selectScenarios returns nothing for a name that stands for none.
func selectScenarios(name string) []modelcheck.Scenario {
	switch name {
	case allScenarios:
		return modelcheck.Scenarios()
	case shortScenarios:
		return modelcheck.ShortScenarios()
	}
	for _, scenario := range modelcheck.Scenarios() {
		if scenario.Name == name {
			return []modelcheck.Scenario{scenario}
		}
	}
	return nil
}

// searchAll goes through the scenarios; the status is that of the worst of them.
func searchAll(chosen options, scenarios []modelcheck.Scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	violated, stopped := false, false
	limits := modelcheck.Limits{Depth: chosen.Depth, States: chosen.States, For: chosen.For, Progress: printProgress}
	for _, scenario := range scenarios {
		report := modelcheck.Search(ctx, scenario, modelcheck.ProductRules(), limits)
		printReport(report, chosen.JSON)
		violated = violated || report.Violation != ""
		stopped = stopped || !report.Exhausted
	}
	switch {
	case violated:
		return exitViolated
	case stopped:
		return exitStopped
	}
	return cli.ExitSuccess
}

func printReport(report modelcheck.Report, asJSON bool) {
	if !asJSON {
		fmt.Println(report)
		return
	}
	line, _ := json.Marshal(report)
	fmt.Println(string(line))
}

func printProgress(report modelcheck.Report) {
	line, _, _ := strings.Cut(report.String(), "\n")
	fmt.Fprintln(os.Stderr, line)
}
