package drillcontrol

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
)

// forecastTimeout bounds the wait for the data planes' responses.
const forecastTimeout = 2 * time.Second

// Fleet is the node's view of the fleet, from which a forecast is made. Its methods may be called from any
// goroutine.
type Fleet interface {
	State() State
	// Members returns the addresses of the keystore's members, MemberZones the zone of each known node.
	Members() []string
	MemberZones() map[string]string
	// DataPlaneZones returns the zone of each data plane that has not left.
	DataPlaneZones() map[string]string
	// DemandRates returns the requests per second by "backend model".
	DemandRates() map[string]float64
	// PublishForecastRequest publishes a request to all data planes, or withdraws the last one if it is nil.
	PublishForecastRequest(request *drill.ForecastRequest)
	// PlanPlacement requests the placement plan of the lease holder. HoldsLease of the plan is not set if the
	// lease holder can't be reached.
	PlanPlacement(ctx context.Context, leaseHolder string, request drill.ForecastRequest) drill.PlacementPlan
}

// Forecaster collects forecasts, one at a time. Any goroutine may call its methods.
type Forecaster struct {
	config Config
	fleet  Fleet

	// lock guards number, responses and arrived.
	lock sync.Mutex
	// number is the number of the open request, or 0 if there is none.
	number    uint64
	responses map[string]drill.ForecastResponse
	// arrived receives a value after each response, which wakes the pending call of Forecast.
	arrived chan struct{}
}

// NewForecaster returns a forecaster without an open request.
func NewForecaster(config Config, fleet Fleet) *Forecaster {
	return &Forecaster{config: config, fleet: fleet}
}

// Forecast predicts the effects of losing a scope, from the responses of all data planes and the lease
// holder. It changes nothing in the fleet. If some nodes don't respond, the forecast names them. Errors are
// from package apierror.
func (f *Forecaster) Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error) {
	if err := scope.Validate(f.config.Zones); err != nil {
		return drill.Forecast{}, err
	}
	view, err := f.fleetView(scope)
	if err != nil {
		return drill.Forecast{}, err
	}
	request := &drill.ForecastRequest{Number: f.config.NewID(), Scope: scope}
	arrived, opened := f.open(request.Number)
	if !opened {
		return drill.Forecast{}, apierror.New(apierror.DrillInProgress, "a forecast is being gathered here")
	}
	f.fleet.PublishForecastRequest(request)
	f.awaitResponses(ctx, arrived, view.DataPlanes)
	f.fleet.PublishForecastRequest(nil)
	forecast := drill.MergeForecast(view, f.close())
	leaseHolder := f.fleet.State().LeaseHolder
	plan := f.fleet.PlanPlacement(ctx, leaseHolder, *request)
	addPlan(&forecast, plan, leaseHolder)
	logrus.WithFields(logrus.Fields{
		"scope":    scope.String(),
		"answered": len(forecast.Answered),
		"missing":  forecast.Missing,
	}).Info("forecast gathered")
	return forecast, nil
}

// HandleResponse records a data plane's response to the open request.
func (f *Forecaster) HandleResponse(_ context.Context, response drill.ForecastResponse) struct{} {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.number == 0 || response.Number != f.number {
		return struct{}{}
	}
	f.responses[response.DataPlane] = response
	select {
	case f.arrived <- struct{}{}:
	default:
	}
	return struct{}{}
}

// open opens a request and returns the channel that receives a value after each response, or false if
// another request is open.
func (f *Forecaster) open(number uint64) (<-chan struct{}, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.number != 0 {
		return nil, false
	}
	f.number = number
	f.responses = map[string]drill.ForecastResponse{}
	f.arrived = make(chan struct{}, 1)
	return f.arrived, true
}

// awaitResponses waits until all the data planes have responded, but at most for forecastTimeout.
func (f *Forecaster) awaitResponses(ctx context.Context, arrived <-chan struct{}, dataPlanes map[string]string) {
	bounded, cancel := context.WithTimeout(ctx, forecastTimeout)
	defer cancel()
	for !f.isComplete(dataPlanes) {
		select {
		case <-arrived:
		case <-bounded.Done():
			return
		}
	}
}

// isComplete reports whether all the data planes have responded.
func (f *Forecaster) isComplete(dataPlanes map[string]string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name := range dataPlanes {
		if _, known := f.responses[name]; !known {
			return false
		}
	}
	return true
}

// close closes the request and returns its responses in no particular order.
func (f *Forecaster) close() []drill.ForecastResponse {
	f.lock.Lock()
	defer f.lock.Unlock()
	responses := slices.Collect(maps.Values(f.responses))
	f.number, f.responses = 0, nil
	return responses
}

// fleetView returns this node's own knowledge for a forecast. It returns an error without confirmed state or a
// configuration.
func (f *Forecaster) fleetView(scope drill.Scope) (drill.FleetView, error) {
	state := f.fleet.State()
	if !state.IsConfirmed {
		return drill.FleetView{}, errUnconfirmed()
	}
	document, err := configuration.Decompress(state.PackedConfiguration)
	if err != nil || state.Revision == 0 {
		return drill.FleetView{}, apierror.New(apierror.NoConfiguration, "")
	}
	current, err := configuration.Decode(document)
	if err != nil {
		return drill.FleetView{}, err
	}
	return drill.FleetView{
		Scope:       scope,
		Zones:       f.config.Zones,
		Replicas:    state.Replicas,
		Table:       configuration.NewTable(current, nil),
		Demand:      f.fleet.DemandRates(),
		DataPlanes:  f.fleet.DataPlaneZones(),
		Members:     f.fleet.Members(),
		MemberZones: f.fleet.MemberZones(),
		LeaseHolder: state.LeaseHolder,
	}, nil
}

// addPlan adds the lease holder's placement plan to a forecast; without a plan the forecast is partial.
func addPlan(forecast *drill.Forecast, plan drill.PlacementPlan, leaseHolder string) {
	if !plan.HoldsLease {
		forecast.Partial = true
		forecast.Missing = append(forecast.Missing, "placement holder "+leaseHolder)
		sort.Strings(forecast.Missing)
		return
	}
	forecast.Placement = plan.Steps
}
