package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/drill"
)

// rehearsalTimeout is the least time for one control plane to answer: a forecast waits for data planes.
const rehearsalTimeout = 4 * time.Second

// rehearseCommand forecasts or drills the loss of a region or zone.
type rehearseCommand struct {
	Zone     string        `long:"zone" description:"rehearse this zone's loss rather than a region's"`
	Forecast bool          `long:"forecast" description:"only work out what would happen (the default)"`
	Drill    bool          `long:"drill" description:"have every node do without it for a share of new requests"`
	Share    float64       `long:"share" default:"0.1" description:"drill: share of new requests, above 0 to 1"`
	For      time.Duration `long:"for" default:"1m" description:"drill: ends by itself after this, 5s to 10m"`
	Margin   float64       `long:"margin" default:"0.1" description:"drill: ended when the share in time falls by more than this"`
	Watch    bool          `long:"watch" description:"drill: print its state until it has ended"`
	Stop     bool          `long:"stop" description:"end the drill that runs, wherever it is"`
	State    bool          `long:"state" description:"print the drill that runs, or the last one"`
	Args     struct {
		Region string `positional-arg-name:"REGION"`
	} `positional-args:"yes"`
}

func (r *rehearseCommand) scope() (drill.Scope, error) {
	scope := drill.Scope{Region: r.Args.Region, Zone: r.Zone}
	if (scope.Region == "") == (scope.Zone == "") {
		return scope, usageError("name either REGION or --zone ZONE")
	}
	return scope, nil
}

// Execute implements flags.Commander.
func (r *rehearseCommand) Execute([]string) error {
	options.PerAddressTimeout = max(options.PerAddressTimeout, rehearsalTimeout)
	if r.Stop || r.State {
		return r.followDrill(r.Stop)
	}
	if r.Forecast && r.Drill {
		return usageError("name either --forecast or --drill")
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

func (r *rehearseCommand) forecast(scope drill.Scope) error {
	content, err := callRehearsal(http.MethodPost, drill.Request{Kind: drill.KindForecast, Scope: scope})
	if err != nil {
		return err
	}
	var result drill.Forecast
	if err := json.Unmarshal(content, &result); err != nil {
		return err
	}
	if options.JSON {
		fmt.Println(string(content))
	} else {
		printForecast(result)
	}
	if result.Partial {
		return exitError{exitPartial, "partial: no answer from " + strings.Join(result.Missing, ", ")}
	}
	return nil
}

func callRehearsal(method string, request any) ([]byte, error) {
	var body []byte
	if request != nil {
		body, _ = json.Marshal(request)
	}
	content, err := call(method, adminapi.PathRehearsal, "", body)
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return nil, exitError{exitRejected, rejected.Error()}
	}
	return content, err
}
