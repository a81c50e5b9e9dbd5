package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// application is what the commands share: the global options, and where they print.
type application struct {
	options globalOptions
	stdout  io.Writer
	// stderr is for warnings beside an answer; errors are returned.
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

// printRaw prints the JSON of a control daemon as it was received.
func (a *application) printRaw(content []byte) {
	a.printLine(string(content))
}

// decode parses a control daemon's JSON. what names it in the error.
func decode(what string, content []byte, target any) error {
	return errors.Wrapf(json.Unmarshal(content, target), "decode %s", what)
}
