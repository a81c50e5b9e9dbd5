package main

import (
	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
)

// configurationCommand prints the newest configuration.
type configurationCommand struct {
	app  *application
	Keys bool `long:"keys" description:"print tenants' keys instead of their digests"`
}

// Execute reads the configuration and prints it.
func (c *configurationCommand) Execute([]string) error {
	content, err := c.app.get(pathConfiguration)
	if err != nil {
		return err
	}
	if !c.Keys {
		if content, err = configuration.RedactDocument(content); err != nil {
			return errors.Wrap(err, "replace keys with digests")
		}
	}
	c.app.printRaw(content)
	return nil
}
