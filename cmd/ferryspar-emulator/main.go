// Ferryspar-emulator shows ferryspar without a fleet: a demonstration on loopback, and experiments in simulated time.
//
// It never talks to a real fleet. Start reading at commands, then internal/sim/emulator and internal/sim/experiment.
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

type command struct {
	name  string
	short string
	data  any
}

var commands = []command{
	{"demo", "start both programs with a small fleet of stand-ins on loopback, send streams, show how each was served", &demoCommand{}},
	{"experiment", "emulate a fleet in made-up time: variants, seeds, a table and plots", &experimentCommand{}},
	{"forecast", "compare forecasts of a loss with the emulated loss, over seeds and fleet sizes", &forecastCommand{}},
	{"applications", "play applications that coordinate through control planes, and check the answers", &applicationsCommand{}},
}

func main() { os.Exit(run(os.Args[1:])) }

var interrupted context.Context

func run(arguments []string) int {
	var stop context.CancelFunc
	interrupted, stop = signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ferryspar-emulator"
	parser.LongDescription = "Runs ferryspar without a fleet: shows it on this machine, or emulates fleets in made-up time. " +
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
