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
	app  *application
	On   int64        `long:"on" required:"yes" description:"revision of the configuration that it replaces; 0 for the first one"`
	Args fileArgument `positional-args:"yes"`
}

// Execute checks the configuration in the file and sends it.
func (p *putCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return errors.Wrap(err, "FILE")
	}
	if _, err := configuration.Parse(content); err != nil {
		return errors.Wrapf(err, "%s is not sent", p.Args.Path)
	}
	return p.app.changeConfiguration(http.MethodPut, p.On, content)
}

// changeConfiguration sends a change of the configuration, which is accepted only if its newest revision is still on.
func (a *application) changeConfiguration(method string, on int64, content []byte) error {
	request := apiRequest{
		method:  method,
		path:    pathConfiguration,
		ifMatch: strconv.FormatInt(on, 10),
		body:    content,
	}
	if _, err := a.call(request); err != nil {
		return err
	}
	a.printLine(acknowledged)
	return nil
}
