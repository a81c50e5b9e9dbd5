package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/drill"
)

const (
	// minRehearsalTimeout is the least timeout of one attempt, as the daemon asks every data plane before it answers.
	minRehearsalTimeout = 4 * time.Second
	// watchInterval is the time between two lines of progress of --watch.
	watchInterval = time.Second
)

// rehearseCommand forecasts the loss of a region or zone, or drills it.
type rehearseCommand struct {
	app      *application
	Zone     string        `long:"zone" description:"rehearse this zone's loss rather than a region's"`
	Forecast bool          `long:"forecast" description:"only forecast what would happen (the default)"`
	Drill    bool          `long:"drill" description:"have every node do without it for a share of new requests"`
	Share    float64       `long:"share" default:"0.1" description:"drill: share of new requests, above 0 to 1"`
	Duration time.Duration `long:"for" default:"1m" description:"drill: ends by itself after this, 5s to 10m"`
	Margin   float64       `long:"margin" default:"0.1" description:"drill: ended when the share in time falls by more than this"`
	Watch    bool          `long:"watch" description:"drill: print its state until it has ended"`
	Stop     bool          `long:"stop" description:"end the drill that runs, wherever it is"`
	State    bool          `long:"state" description:"print the drill that runs, or the last one"`
	Args     struct {
		Region string `positional-arg-name:"REGION"`
	} `positional-args:"yes"`
}

// Execute prints a forecast, or starts, stops or prints a drill.
func (r *rehearseCommand) Execute([]string) error {
	if r.Stop {
		return r.stopDrill()
	}
	if r.State {
		return r.printLastDrill()
	}
	if r.Forecast && r.Drill {
		return cli.NewUsageError(errors.New("name either --forecast or --drill"))
	}
	scope, err := r.scope()
	if err != nil {
		return err
	}
	if r.Drill {
		return r.startDrill(scope)
	}
	return r.forecast(scope)
}

// scope returns the region or zone whose loss is rehearsed, or a usage error if there is not exactly one.
func (r *rehearseCommand) scope() (drill.Scope, error) {
	scope := drill.Scope{Region: r.Args.Region, Zone: r.Zone}
	if (scope.Region == "") == (scope.Zone == "") {
		return scope, cli.NewUsageError(errors.New("name either REGION or --zone ZONE"))
	}
	return scope, nil
}

// postRehearsal starts a forecast or a drill and returns the answer.
func (a *application) postRehearsal(request drill.Request) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode the rehearsal")
	}
	return a.callRehearsal(http.MethodPost, body)
}

// callRehearsal returns the answer, or an error with exitRejected if the control plane rejected the request.
func (a *application) callRehearsal(method string, body []byte) ([]byte, error) {
	timeout := max(a.options.PerAddressTimeout, minRehearsalTimeout)
	content, err := a.callWithin(timeout, apiRequest{method: method, path: pathRehearsal, body: body})
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return nil, newExitError(exitRejected, "%s", rejected)
	}
	return content, err
}

// formatQuantiles returns p50/p90/p99 in milliseconds.
func formatQuantiles(latency drill.Quantiles) string {
	if latency.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", latency.P50, latency.P90, latency.P99)
}
