package main

import (
	"net/http"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
)

// acknowledged is printed when the control plane has accepted a change.
const acknowledged = "acknowledged"

// putCommand replaces the configuration.
type putCommand struct {
	app              *application
	ExpectedRevision int64        `long:"on" required:"yes" description:"revision of the configuration to replace; 0 if there is none"`
	Args             fileArgument `positional-args:"yes"`
}

// Execute checks the configuration in the file and sends it.
func (p *putCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return errors.Wrap(err, "read FILE")
	}
	if _, err := configuration.Parse(content); err != nil {
		return errors.Wrapf(err, "%s is invalid and was not sent", p.Args.Path)
	}
	return p.app.changeConfiguration(http.MethodPut, p.ExpectedRevision, content)
}

// changeConfiguration sends a change of the configuration, which is accepted only if the newest revision is still the
// expected one.
func (a *application) changeConfiguration(method string, expectedRevision int64, content []byte) error {
	request := apiRequest{
		method:  method,
		path:    pathConfiguration,
		ifMatch: strconv.FormatInt(expectedRevision, 10),
		body:    content,
	}
	if _, err := a.call(request); err != nil {
		return err
	}
	a.printLine(acknowledged)
	return nil
}
