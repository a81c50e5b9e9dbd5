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
	// minRehearsalTimeout is the minimum timeout of one attempt: the control plane queries every data plane before it
	// responds.
	minRehearsalTimeout = 4 * time.Second
	// watchInterval is the interval at which --watch prints the progress.
	watchInterval = time.Second
)

// rehearseCommand forecasts the loss of a region or zone, or rehearses it in a drill.
type rehearseCommand struct {
	app      *application
	Zone     string        `long:"zone" description:"rehearse the loss of this zone instead of a region"`
	Forecast bool          `long:"forecast" description:"only forecast what would happen (the default)"`
	Drill    bool          `long:"drill" description:"have every node avoid it for a share of new requests"`
	Share    float64       `long:"share" default:"0.1" description:"drill: share of new requests, above 0 to 1"`
	Duration time.Duration `long:"for" default:"1m" description:"drill: duration, 5s to 10m"`
	Margin   float64       `long:"margin" default:"0.1" description:"drill: stop if the share of requests in time falls by more than this"`
	Watch    bool          `long:"watch" description:"drill: print its state until it ends"`
	Stop     bool          `long:"stop" description:"stop the running drill, whatever its scope"`
	State    bool          `long:"state" description:"print the running drill, or the last one"`
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
		return cli.NewUsageError(errors.New("give either --forecast or --drill"))
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
		return scope, cli.NewUsageError(errors.New("give either REGION or --zone ZONE"))
	}
	return scope, nil
}

// postRehearsal requests a forecast or a drill and returns the body of the response.
func (a *application) postRehearsal(request drill.Request) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode the rehearsal")
	}
	return a.callRehearsal(http.MethodPost, body)
}

// callRehearsal returns the body of the response, or an error with exitRejected if the control plane rejected the
// request.
func (a *application) callRehearsal(method string, body []byte) ([]byte, error) {
	timeout := max(a.options.PerAddressTimeout, minRehearsalTimeout)
	content, err := a.callWithin(timeout, apiRequest{method: method, path: pathRehearsal, body: body})
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return nil, newExitError(exitRejected, "%s", rejected)
	}
	return content, err
}

// formatQuantiles returns p50/p90/p99 in milliseconds, "-" if there are no samples.
func formatQuantiles(latency drill.Quantiles) string {
	if latency.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", latency.P50, latency.P90, latency.P99)
}
