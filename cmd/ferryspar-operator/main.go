// Ferryspar-operator is the command line tool for operators: it reads and changes a fleet through the control plane's
// admin API, and inspects the data directory of a stopped member.
//
// It keeps no state. A retry repeats the request unchanged, so that the control planes recognize it as a duplicate.
// Start reading at newParser and commands, which lists the commands; each has its own file. The client of the admin API
// is in internal/adminapi.
package main

import (
	"fmt"
	"os"

	"ferryspar/internal/cli"
)

// programName is the program's name in help texts and the prefix of error messages.
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
