// Ferryspar-emulator runs ferryspar without a fleet: a demo on loopback, and experiments in simulated time.
//
// Only the applications command connects to nodes that it has not started. Start reading at commands, then
// internal/sim/emulator and internal/sim/experiment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"ferryspar/internal/cli"
)

// command is one command of the program. data is the struct of its options.
type command struct {
	name  string
	short string
	data  any
}

var commands = []command{
	{"demo", "run both daemons and stand-in replicas on loopback, send streams and show how each was served", &demoCommand{}},
	{"experiment", "emulate a fleet in simulated time: variants, seeds, a table and plots", &experimentCommand{}},
	{"forecast", "compare forecasts of a loss with the emulated loss, over seeds and fleet sizes", &forecastCommand{}},
	{"applications", "emulate applications that coordinate through control planes, and check the responses", &applicationsCommand{}},
}

func main() { os.Exit(run(os.Args[1:])) }

// signalContext is the context of the commands, which SIGINT and SIGTERM cancel. It is a variable as go-flags passes no
// context to Execute.
var signalContext context.Context

// run runs the command given by the arguments and returns the exit status.
func run(arguments []string) int {
	var stop context.CancelFunc
	signalContext, stop = signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ferryspar-emulator"
	parser.LongDescription = "Runs ferryspar without a fleet: a demo on this machine, or emulated fleets in simulated time. " +
		"Version " + cli.Version + "."
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cli.ExitFailed
		}
	}
	_, err := parser.ParseArgs(arguments)
	return cli.ReportError(parser.Name, err)
}
