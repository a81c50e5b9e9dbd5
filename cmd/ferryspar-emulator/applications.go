package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/sim/applications"
)

// idlePerHost is how many idle connections are kept to a control plane.
const idlePerHost = 256

// applicationsCommand plays applications against control planes.
type applicationsCommand struct {
	Control  []string      `short:"c" long:"control" description:"HOST:PORT of a control plane; several are tried in turn" required:"yes"`
	Callers  int           `long:"callers" default:"4" description:"applications that call"`
	Rate     float64       `long:"rate" default:"40" description:"calls a second of all together"`
	For      time.Duration `long:"for" default:"10s" description:"how long they call"`
	Locks    int           `long:"locks" default:"80" description:"locks"`
	Counters int           `long:"numbers" default:"6" description:"counters"`
	Keys     int           `long:"keys" default:"30" description:"keys of the one group"`
	Watches  int           `long:"watches" default:"4" description:"watches on the group"`
	Hold     time.Duration `long:"hold" default:"2s" description:"how long a lock is held without a renewal"`
	Name     string        `long:"name" default:"load" description:"what the names of locks, counters and keys begin with"`
	Seed     uint64        `long:"seed" default:"1" description:"draws what is called when"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// Execute plays, prints the report, and fails if a promise was broken.
func (a *applicationsCommand) Execute([]string) error {
	report, err := applications.Run(interrupted, applications.Options{
		Addresses: a.Control,
		Callers:   a.Callers,
		PerSecond: a.Rate,
		Duration:  a.For,
		Locks:     a.Locks,
		Counters:  a.Counters,
		Keys:      a.Keys,
		Watches:   a.Watches,
		Hold:      a.Hold,
		Name:      a.Name,
		Seed:      a.Seed,
	}, &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true})
	if err != nil {
		return err
	}
	if a.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err == nil && len(report.Faults) > 0 {
		err = errors.Errorf("%d promises broken", len(report.Faults))
	}
	return err
}
