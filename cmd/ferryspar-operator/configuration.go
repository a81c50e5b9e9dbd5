package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
)

// configurationCommand prints the newest configuration.
type configurationCommand struct {
	Keys bool `long:"keys" description:"print tenants' keys instead of their digests"`
}

// Execute implements flags.Commander.
func (r *configurationCommand) Execute([]string) error {
	content, err := call(http.MethodGet, adminapi.PathConfiguration, "", nil)
	if err != nil {
		return err
	}
	if !r.Keys {
		if content, err = configuration.RedactDocument(content); err != nil {
			return err
		}
	}
	fmt.Println(string(content))
	return nil
}

// fileArgument is the argument of commands that read a file.
type fileArgument struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

// putCommand replaces the configuration.
type putCommand struct {
	On   int64        `long:"on" required:"yes" description:"revision it builds on; 0 for the first"`
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (p *putCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return err
	}
	if _, err := configuration.Parse(content); err != nil {
		return errors.Wrapf(err, "%s not sent", p.Args.Path)
	}
	return sendConfiguration(http.MethodPut, p.On, content)
}

// patchCommand changes named items of the configuration.
type patchCommand struct {
	On   int64        `long:"on" required:"yes" description:"revision it builds on"`
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (p *patchCommand) Execute([]string) error {
	content, err := os.ReadFile(p.Args.Path)
	if err != nil {
		return err
	}
	return sendConfiguration(http.MethodPatch, p.On, content)
}

// sendConfiguration sends a file that builds on a revision.
func sendConfiguration(method string, on int64, content []byte) error {
	if _, err := call(method, adminapi.PathConfiguration, strconv.FormatInt(on, 10), content); err != nil {
		return err
	}
	fmt.Println(acknowledged)
	return nil
}

// checkCommand checks a configuration file without a control plane.
type checkCommand struct {
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Args.Path)
	if err != nil {
		return err
	}
	parsed, err := configuration.Parse(content)
	if err != nil {
		return err
	}
	fmt.Printf("sound: revision %d, %d routes, %d backends, %d tenants\n",
		parsed.Revision, len(parsed.Routes), len(parsed.Backends), len(parsed.Tenants))
	return nil
}
