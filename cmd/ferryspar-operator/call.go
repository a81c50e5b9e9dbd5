package main

import (
	"context"
	"fmt"
	"net/http"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/cli"
)

// Exit statuses of this program, beside those of package cli.
const (
	// exitPartial: a forecast lacks some answers.
	exitPartial = 4
	// exitGuard: a drill was ended by a guard.
	exitGuard = 5
	// exitRejected: the control plane rejected a forecast or drill.
	exitRejected = 6
	// exitDamaged: an inspected data directory holds state that a member would not use.
	exitDamaged = 7
)

// exitError is an error with the exit status that it stands for.
type exitError struct {
	status  int
	message string
}

// Error implements error.
func (e exitError) Error() string { return e.message }

// ExitStatus is read by cli.ReportError.
func (e exitError) ExitStatus() int { return e.status }

// usageError is an error in how the program was called.
func usageError(message string) error { return exitError{cli.ExitUsage, message} }

// rejectedError is a clear response that is no success.
type rejectedError struct {
	response adminapi.Response
}

// Error implements error.
func (e rejectedError) Error() string {
	return fmt.Sprintf("refused with %d by %s: %s", e.response.Status, e.response.Address, e.response.Body)
}

func newClient() *adminapi.Client {
	return &adminapi.Client{
		Addresses:         options.Control,
		HTTPClient:        adminapi.NewHTTPClient(),
		PerAddressTimeout: options.PerAddressTimeout,
		Timeout:           options.Timeout,
	}
}

// call calls the admin API and returns the body of a successful response. condition is the version that a
// change builds on, or "". The error is a rejectedError if a control plane gave a clear response.
func call(method, path, condition string, body []byte) ([]byte, error) {
	if len(options.Control) == 0 {
		return nil, usageError("name a control daemon with -c, --control")
	}
	response, err := newClient().Call(context.Background(), method, path, condition, body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.Status >= http.StatusMultipleChoices {
		return nil, rejectedError{response}
	}
	return response.Body, nil
}
