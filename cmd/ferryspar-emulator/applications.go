package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/httpframing"
	"ferryspar/internal/sim/applications"
)

// maxIdlePerHost is the maximum number of idle connections to each control plane.
const maxIdlePerHost = 256

// applicationsCommand emulates applications that use the coordination API of control planes.
type applicationsCommand struct {
	Addresses  []string      `short:"c" long:"control" description:"HOST:PORT of a control plane; several are tried in turn" required:"yes"`
	Callers    int           `long:"callers" default:"4" description:"number of concurrent applications"`
	RatePerS   float64       `long:"rate" default:"40" description:"calls per second of all applications together"`
	Duration   time.Duration `long:"for" default:"10s" description:"duration of the run"`
	Locks      int           `long:"locks" default:"80" description:"number of locks"`
	Counters   int           `long:"numbers" default:"6" description:"number of counters"`
	Keys       int           `long:"keys" default:"30" description:"number of keys, all in one group"`
	Watches    int           `long:"watches" default:"4" description:"number of watches on the group"`
	Hold       time.Duration `long:"hold" default:"2s" description:"duration of a lock that is not renewed"`
	NamePrefix string        `long:"name" default:"load" description:"prefix of the names of locks, counters and keys"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the random sequence of calls"`
	JSON       bool          `long:"json" description:"print JSON"`
}

// Execute runs the applications and prints the report. It returns an error if a guarantee was violated.
func (a *applicationsCommand) Execute([]string) error {
	report, err := applications.Run(signalContext, applications.Options{
		Addresses:    a.Addresses,
		Callers:      a.Callers,
		CallsPerS:    a.RatePerS,
		Duration:     a.Duration,
		Locks:        a.Locks,
		Counters:     a.Counters,
		Keys:         a.Keys,
		Watches:      a.Watches,
		LockDuration: a.Hold,
		NamePrefix:   a.NamePrefix,
		Seed:         a.Seed,
	}, &http.Transport{
		DialContext:         httpframing.CheckResponses((&net.Dialer{}).DialContext),
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	})
	if err != nil {
		return err
	}
	if a.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err == nil && len(report.Violations) > 0 {
		err = errors.Errorf("%d guarantees violated", len(report.Violations))
	}
	return err
}
