package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// UsageError is an error in how a program was called.
type UsageError struct{ error }

// NewUsageError marks err as one in how the program was called, so that ReportError returns ExitUsage.
func NewUsageError(err error) error { return UsageError{err} }

// ReportError prints err, if there is one, and returns the exit status for it.
func ReportError(daemon string, err error) int {
	if err == nil {
		return ExitSuccess
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return ExitSuccess
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", daemon, err)
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
