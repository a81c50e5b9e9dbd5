package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit statuses of every program.
const (
	ExitSuccess  = 0
	ExitFailed   = 1
	ExitUsage    = 2 // wrong options or arguments
	ExitSettings = 3 // the settings file cannot be read or used
)

// UsageError is an error in how a program was called.
type UsageError struct{ error }

// NewUsageError marks err as one in how the program was called, so that ReportError returns ExitUsage.
func NewUsageError(err error) error { return UsageError{err} }

// ReportError prints err, if there is one, and returns the exit status for it: that of the error if it has a
// method ExitStatus, ExitUsage for wrong options and a UsageError, ExitFailed for any other. A request for
// help is a success.
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
