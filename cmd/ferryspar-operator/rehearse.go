package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
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

func formatQuantiles(latency drill.Quantiles) string {
	if latency.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", latency.P50, latency.P90, latency.P99)
}

func printForecast(forecast drill.Forecast) {
	fmt.Printf("forecast: %s is lost; answered by %d of %d edges\n", forecast.Scope, len(forecast.Answered), len(forecast.Answered)+len(forecast.Missing))
	if forecast.Partial {
		fmt.Println("PARTIAL: no answer from", strings.Join(forecast.Missing, ", "))
	}
	fmt.Printf("lost: edges %v, replicas %v; replicas left: %d\n", forecast.DataPlanesLost, forecast.ReplicasLost, forecast.ReplicasLeft)
	control := forecast.Control
	fmt.Printf("control: members lost %v of %d, majority stays: %t, placement moves: %t\n",
		control.Lost, len(control.Members), control.KeepsMajority, control.LeaseMoves)
	flight := forecast.InFlight
	fmt.Printf("in flight: %d of %d run at lost replicas (%d go on elsewhere, %d are cut); %d wait; "+
		"of both %d find a place, %d wait on, %d are bound to what is lost\n",
		flight.OnLostReplicas, flight.Running, flight.Resumable, flight.Aborted, flight.Waiting, flight.Placed, flight.StillWaiting, flight.BoundToLost)
	const routeColumns = "route priority per_s sampled stay move wait nowhere bound late_now late_then first_now first_then read_again"
	printTable("requests as of late, were they to come now (first token in ms: p50/p90/p99)", routeColumns, func(line func(...any)) {
		for _, one := range forecast.Routes {
			line(one.Name, one.Priority, fmt.Sprintf("%.1f", one.RatePerS), one.Sampled, one.Staying, one.Moved, one.Waiting, one.NowhereLoaded, one.BoundToLost,
				one.LateNow, one.Late, formatQuantiles(one.FirstTokenNow), formatQuantiles(one.FirstTokenAfterLoss), int(one.RecomputedTokens))
		}
	})
	printTable("warm prompt tokens", "model lost of_these_nowhere_else kept", func(line func(...any)) {
		for _, name := range slices.Sorted(maps.Keys(forecast.Cached)) {
			one := forecast.Cached[name]
			line(name, int(one.Lost), int(one.OnlyInScope), int(one.Kept))
		}
	})
	loading := forecast.LoadEstimate
	title := fmt.Sprintf("no copy left (%d loads, at least %.1f s; the %d in demand at least %.1f s)",
		loading.Loads, loading.MinMs/1000, loading.InDemand, loading.InDemandMinMs/1000)
	printTable(title, "backend model per_s", func(line func(...any)) {
		for _, one := range forecast.LostModels {
			line(one.Backend, one.Model, fmt.Sprintf("%.2f", one.RatePerS))
		}
	})
	printTable("what placement would do first", "replica model load why", func(line func(...any)) {
		for _, one := range forecast.Placement {
			line(one.Replica, one.Model, one.Load, one.Reason)
		}
	})
	printTable("replicas left", "replica zone slots running moved_to full", func(line func(...any)) {
		for _, one := range forecast.Replicas {
			line(one.Replica, one.Zone, one.Slots, one.Running, one.Moved, one.Full)
		}
	})
}
