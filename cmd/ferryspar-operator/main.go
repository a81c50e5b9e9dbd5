// Ferryspar-operator is the operators' command line: it reads and changes a fleet through the control plane's admin API,
// and inspects the data directory of a stopped member.
//
// It keeps no state, and repeats a call only in the form that the control daemons recognise as the same. Start reading at
// newParser, which lists the commands; each has a file of its own. The client's side of the API is internal/adminapi.
package main

import (
	"fmt"
	"os"

	"ferryspar/internal/cli"
)

// programName is the name in help texts and before error messages.
const programName = "ferryspar-operator"

func main() {
	parser, err := newParser(&application{stdout: os.Stdout, stderr: os.Stderr})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cli.ExitFailed)
	}
	_, err = parser.Parse()
	os.Exit(cli.ReportError(programName, err))
}
