// Ferryspar-operator speaks to the control plane as its operator does.
//
// It keeps no state. Start reading at commands, then internal/adminapi.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/cli"
)

type globalOptions struct {
	Control           []string      `short:"c" long:"control" description:"address of a control daemon, for all commands that ask one; name several"`
	PerAddressTimeout time.Duration `long:"patience" default:"1s" description:"silence after which the next daemon is asked"`
	Timeout           time.Duration `long:"bound" default:"15s" description:"time for the whole call"`
	JSON              bool          `long:"json" description:"print the answer's JSON as it came"`
}

var options globalOptions

func newClient() *adminapi.Client {
	return &adminapi.Client{Addresses: options.Control, HTTPClient: adminapi.NewHTTPClient(), PerAddressTimeout: options.PerAddressTimeout, Timeout: options.Timeout}
}

type rejectedError struct {
	response adminapi.Response
}

func (e rejectedError) Error() string {
	return fmt.Sprintf("refused with %d by %s: %s", e.response.Status, e.response.Address, e.response.Body)
}

func call(method, path, condition string, body []byte) ([]byte, error) {
	if len(options.Control) == 0 {
		return nil, usageError("name a control daemon with -c, --control")
	}
	response, err := newClient().Call(context.Background(), method, path, condition, body)
	if err != nil {
		return nil, err
	}
	if response.Status >= 300 {
		return nil, rejectedError{response}
	}
	return response.Body, nil
}

func main() {
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ferryspar-operator"
	parser.LongDescription = "Speaks to the control plane as its operator does. Version " + cli.Version + "."
	for _, command := range subcommands {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.handler); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(cli.ExitFailed)
		}
	}
	_, err := parser.Parse()
	os.Exit(cli.ReportError(parser.Name, err))
}
