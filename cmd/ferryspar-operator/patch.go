package main

import (
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// patchCommand changes items of the configuration.
type patchCommand struct {
	app  *application
	On   int64        `long:"on" required:"yes" description:"revision of the configuration that it changes"`
	Args fileArgument `positional-args:"yes"`
}

// Execute sends the changes in the file. The control plane checks them, as only it has the configuration to change.
func (p *patchCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return errors.Wrap(err, "FILE")
	}
	return p.app.changeConfiguration(http.MethodPatch, p.On, content)
}
