package main

import (
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// patchCommand changes single items of the configuration.
type patchCommand struct {
	app              *application
	ExpectedRevision int64        `long:"on" required:"yes" description:"revision of the configuration to change"`
	Args             fileArgument `positional-args:"yes"`
}

// Execute sends the changes in the file. Only the control plane checks them, since it has the configuration to change.
func (p *patchCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return errors.Wrap(err, "read FILE")
	}
	return p.app.changeConfiguration(http.MethodPatch, p.ExpectedRevision, content)
}
