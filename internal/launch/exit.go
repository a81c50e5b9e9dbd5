package launch

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type WrongUse struct{ error }

func Wrong(err error) error { return WrongUse{err} }

func Exit(program string, err error) int {
	if err == nil {
		return ExitGood
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return ExitGood
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, err)
	var ended interface{ ExitStatus() int }
	if errors.As(err, &ended) {
		return ended.ExitStatus()
	}
	var usage *flags.Error
	var wrong WrongUse
	if errors.As(err, &usage) || errors.As(err, &wrong) {
		return ExitUsage
	}
	return ExitFailed
}
