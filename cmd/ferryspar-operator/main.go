// Ferryspar-operator is the command line of the admin API: it reads and changes the configuration, zones'
// evacuations, context rules and drills at the control planes, queries the fleet's state in SQL, and
// inspects a stopped member's data directory.
//
// It keeps no state and never speaks to data planes or replicas. Each command is a type with an Execute
// method in a file of its own; start reading at subcommands, then at package adminapi, whose Client sends
// the calls.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"ferryspar/internal/cli"
)

// globalOptions are the options of all commands.
type globalOptions struct {
	Control           []string      `short:"c" long:"control" description:"address of a control plane; name several to try in turn"`
	PerAddressTimeout time.Duration `long:"patience" default:"1s" description:"time after which the next control plane is tried"`
	Timeout           time.Duration `long:"bound" default:"15s" description:"time for the whole call"`
	JSON              bool          `long:"json" description:"print the answer's JSON as it came"`
}

// options are those of this call of the program.
var options globalOptions

const programName = "ferryspar-operator"

// newParser returns a parser of the command line with all commands.
func newParser() (*flags.Parser, error) {
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	parser.LongDescription = "Reads and changes the state of a fleet at its control planes. Version " + cli.Version + "."
	for _, command := range subcommands {
		added, err := parser.AddCommand(command.name, command.short, command.long, command.handler)
		if err != nil {
			return nil, fmt.Errorf("command %s: %w", command.name, err)
		}
		added.Aliases = command.aliases
	}
	return parser, nil
}

func main() {
	parser, err := newParser()
	if err == nil {
		_, err = parser.Parse()
	}
	os.Exit(cli.ReportError(programName, err))
}
