package main

import "fmt"

// Exit statuses of single commands, beside those of every program (cli.ExitFailed and so on). They are fixed, because
// operators' scripts test them.
const (
	exitPartial  = 4 // rehearse: the forecast lacks nodes that did not answer
	exitGuard    = 5 // rehearse: a guard ended the drill
	exitRejected = 6 // rehearse: the control plane rejected the call
	exitDamaged  = 7 // inspect: the state on disk is damaged
)

// exitError is an error with an exit status of its own, which cli.ReportError asks for.
type exitError struct {
	status  int
	message string
}

func newExitError(status int, format string, values ...any) error {
	return exitError{status: status, message: fmt.Sprintf(format, values...)}
}

// Error returns the message for the operator.
func (e exitError) Error() string { return e.message }

// ExitStatus returns the status that the program ends with.
func (e exitError) ExitStatus() int { return e.status }
