package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// application holds what all commands share: the global options and the output streams.
type application struct {
	options globalOptions
	stdout  io.Writer
	// stderr receives warnings that accompany a result; errors are returned instead.
	stderr io.Writer
}

// printLine prints values on one line, as fmt.Println does.
func (a *application) printLine(values ...any) {
	fmt.Fprintln(a.stdout, values...)
}

func (a *application) printf(format string, values ...any) {
	fmt.Fprintf(a.stdout, format, values...)
}

// printJSON prints value as JSON on one line.
func (a *application) printJSON(value any) error {
	return json.NewEncoder(a.stdout).Encode(value)
}

// printRaw prints the JSON of a control plane as it was received.
func (a *application) printRaw(content []byte) {
	a.printLine(string(content))
}

// decode parses the JSON of a control plane into target. what names it in the error.
func decode(what string, content []byte, target any) error {
	return errors.Wrapf(json.Unmarshal(content, target), "decode %s", what)
}
