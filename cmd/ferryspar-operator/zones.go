package main

import (
	"fmt"

	"ferryspar/internal/adminapi"
)

// drainCommand evacuates a zone, or ends that, by its method.
type drainCommand struct {
	method string
	Args   struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (d *drainCommand) Execute([]string) error {
	if _, err := call(d.method, adminapi.PathDrainZone+d.Args.Zone, "", nil); err != nil {
		return err
	}
	fmt.Println(acknowledged)
	return nil
}
