// Ferryspar-operator speaks to the control plane as its operator does.
//
// It keeps no state. Start reading at commands, then internal/operator.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"ferryspar/internal/launch"
	"ferryspar/internal/operator"
)

type common struct {
	Control  []string      `short:"c" long:"control" description:"address of a control daemon, for all commands that ask one; name several"`
	Patience time.Duration `long:"patience" default:"1s" description:"silence after which the next daemon is asked"`
	Bound    time.Duration `long:"bound" default:"15s" description:"time for the whole call"`
	JSON     bool          `long:"json" description:"print the answer's JSON as it came"`
}

var shared common

func caller() *operator.Caller {
	return &operator.Caller{Addresses: shared.Control, Client: operator.NewClient(), Patience: shared.Patience, Bound: shared.Bound}
}

type refusal struct {
	outcome operator.Outcome
}

func (r refusal) Error() string {
	return fmt.Sprintf("refused with %d by %s: %s", r.outcome.Status, r.outcome.Address, r.outcome.Body)
}

func ask(method, path, condition string, body []byte) ([]byte, error) {
	if len(shared.Control) == 0 {
		return nil, usage("name a control daemon with -c, --control")
	}
	outcome, err := caller().Call(context.Background(), method, path, condition, body)
	if err != nil {
		return nil, err
	}
	if outcome.Status >= 300 {
		return nil, refusal{outcome}
	}
	return outcome.Body, nil
}

func main() {
	parser := flags.NewParser(&shared, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ferryspar-operator"
	parser.LongDescription = "Speaks to the control plane as its operator does. Version " + launch.Version + "."
	for _, one := range commands {
		if _, err := parser.AddCommand(one.name, one.short, one.short, one.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(launch.ExitFailed)
		}
	}
	_, err := parser.Parse()
	os.Exit(launch.ReportError(parser.Name, err))
}
