package main

import "net/url"

// drainCommand starts the draining of a zone (POST) or ends it (DELETE).
type drainCommand struct {
	app    *application
	method string
	Args   struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sends the change.
func (d *drainCommand) Execute([]string) error {
	if _, err := d.app.call(apiRequest{method: d.method, path: pathDrainZone + url.PathEscape(d.Args.Zone)}); err != nil {
		return err
	}
	d.app.printLine(acknowledged)
	return nil
}
