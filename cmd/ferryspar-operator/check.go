package main

import (
	"os"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
)

// checkCommand checks a configuration file without a control plane.
type checkCommand struct {
	app  *application
	Args fileArgument `positional-args:"yes"`
}

// Execute checks the file and prints a summary of its content.
func (c *checkCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Args.Path)
	if err != nil {
		return errors.Wrap(err, "read FILE")
	}
	parsed, err := configuration.Parse(content)
	if err != nil {
		return errors.Wrap(err, c.Args.Path)
	}
	c.app.printf("sound: revision %d, %d routes, %d backends, %d tenants\n",
		parsed.Revision, len(parsed.Routes), len(parsed.Backends), len(parsed.Tenants))
	return nil
}
