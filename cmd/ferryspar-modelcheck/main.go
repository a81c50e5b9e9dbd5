// Ferryspar-modelcheck is a model checker for the consensus protocol of the control state: it explores every order of
// events in small fleets, within given bounds, and reports whether the invariants hold.
//
// Start reading at run, then internal/test/modelcheck.
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

// Exit statuses in addition to those that all programs share.
const (
	// exitViolated means that an invariant was violated in some scenario.
	exitViolated = 1
	// exitStopped means that a scenario was stopped by a limit before all its states were visited.
	exitStopped = 4
)

// Names that select several scenarios.
const (
	allScenarios   = "all"
	shortScenarios = "short"
)

// options are the command line.
type options struct {
	Scenario string        `long:"scenario" default:"all" description:"name of a scenario, short for those that take seconds, or all"`
	Depth    int           `long:"depth" description:"maximum length of a sequence of events (default: no limit)"`
	States   int           `long:"states" description:"maximum number of states visited in each scenario (default: no limit)"`
	Timeout  time.Duration `long:"for" description:"time limit of each scenario (default: none)"`
	JSON     bool          `long:"json" description:"print a JSON object for each scenario"`
	List     bool          `long:"list" description:"list the scenarios and exit"`
	Version  bool          `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit status.
func run(arguments []string) int {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	parser.LongDescription = "Explores every order of events in small fleets of the control state. " +
		"Exit status 0: all states visited, no invariant violated; 1: violated; 4: stopped by a limit."
	if _, err := parser.ParseArgs(arguments); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return cli.ExitSuccess
		}
		return usageError(err.Error())
	}
	switch {
	case parsed.Version:
		fmt.Println(programName, cli.Version)
		return cli.ExitSuccess
	case parsed.List:
		listScenarios()
		return cli.ExitSuccess
	}
	scenarios := selectScenarios(parsed.Scenario)
	if len(scenarios) == 0 {
		return usageError(fmt.Sprintf("no scenario %q, see --list", parsed.Scenario))
	}
	return searchAll(parsed, scenarios)
}

// usageError prints the message and returns the exit status of a wrong command line.
func usageError(message string) int {
	fmt.Fprintf(os.Stderr, "%s: %s\n", programName, message)
	return cli.ExitUsage
}

func listScenarios() {
	for _, scenario := range modelcheck.Scenarios() {
		fmt.Printf("%-24s %s\n", scenario.Name, scenario.Summary)
	}
}

// selectScenarios returns the scenarios that the name selects, none if it is unknown.
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

// searchAll searches the scenarios one after the other and returns the exit status: exitViolated takes precedence over
// exitStopped.
func searchAll(parsed options, scenarios []modelcheck.Scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	violated, stopped := false, false
	limits := modelcheck.Limits{Depth: parsed.Depth, States: parsed.States, Timeout: parsed.Timeout, Progress: printProgress}
	for _, scenario := range scenarios {
		report := modelcheck.Search(ctx, scenario, modelcheck.ProductionRules(), limits)
		printReport(report, parsed.JSON)
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

// printProgress prints the first line of the report, which has no trace, to standard error.
func printProgress(report modelcheck.Report) {
	line, _, _ := strings.Cut(report.String(), "\n")
	fmt.Fprintln(os.Stderr, line)
}
