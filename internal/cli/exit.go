package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit statuses of all programs.
const (
	ExitSuccess  = 0
	ExitFailed   = 1
	ExitUsage    = 2 // wrong options or arguments
	ExitSettings = 3 // the settings file is unreadable or invalid
)

// UsageError is an error in the command line of a program.
type UsageError struct{ error }

// NewUsageError wraps err in a UsageError, for which ReportError returns ExitUsage.
func NewUsageError(err error) error { return UsageError{err} }

// ReportError prints err, unless it is nil, and returns the exit status: that of the error's ExitStatus method if it has one,
// ExitUsage for invalid options and a UsageError, ExitFailed for any other error, and ExitSuccess for nil or a request for help.
func ReportError(program string, err error) int {
	if err == nil {
		return ExitSuccess
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return ExitSuccess
	}
	printError(program, err)
	var withStatus interface{ ExitStatus() int }
	if errors.As(err, &withStatus) {
		return withStatus.ExitStatus()
	}
	var flagsError *flags.Error
	var usageError UsageError
	if errors.As(err, &flagsError) || errors.As(err, &usageError) {
		return ExitUsage
	}
	return ExitFailed
}

func printError(program string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, err)
}
