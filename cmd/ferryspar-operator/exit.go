package main

import "fmt"

// Exit statuses of particular commands, in addition to those that all programs share (cli.ExitFailed and others). Their
// values are fixed, as operators' scripts check them.
const (
	exitPartial  = 4 // rehearse: the forecast lacks nodes that did not respond
	exitGuard    = 5 // rehearse: a guard ended the drill
	exitRejected = 6 // rehearse: the control plane rejected the request
	exitDamaged  = 7 // inspect: the state on disk is damaged
)

// exitError is an error with its own exit status, which cli.ReportError uses.
type exitError struct {
	status  int
	message string
}

func newExitError(status int, format string, values ...any) error {
	return exitError{status: status, message: fmt.Sprintf(format, values...)}
}

// Error returns the message.
func (e exitError) Error() string { return e.message }

// ExitStatus returns the status that the program ends with.
func (e exitError) ExitStatus() int { return e.status }
