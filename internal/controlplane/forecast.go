package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/drill"
)

// forecasts gathers the data planes' answers to one question at a time. Its lock guards it.
type forecasts struct {
	lock sync.Mutex
	// number is the question's, or 0 if none is open.
	number  uint64
	answers map[string]drill.ForecastResponse
	arrived chan struct{}
}

// forecastTimeout is how long the data planes may take to answer.
const forecastTimeout = 2 * time.Second

// begin opens a question, and reports false if another is open.
func (f *forecasts) begin(number uint64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.number != 0 {
		return false
	}
	f.number = number
	f.answers = map[string]drill.ForecastResponse{}
	f.arrived = make(chan struct{}, 1)
	return true
}

// end closes the question and returns its answers.
func (f *forecasts) end() []drill.ForecastResponse {
	f.lock.Lock()
	defer f.lock.Unlock()
	list := make([]drill.ForecastResponse, 0, len(f.answers))
	for _, answer := range f.answers {
		list = append(list, answer)
	}
	f.number, f.answers = 0, nil
	return list
}

// has tells whether all the data planes have answered.
func (f *forecasts) complete(dataPlanes map[string]string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name := range dataPlanes {
		if _, known := f.answers[name]; !known {
			return false
		}
	}
	return true
}

// handleForecast takes in a data plane's answer to the open question.
func (n *Node) handleForecast(ctx context.Context, answer drill.ForecastResponse) struct{} {
	pending := &n.forecasts
	pending.lock.Lock()
	defer pending.lock.Unlock()
	if pending.number != 0 && answer.Number == pending.number {
		pending.answers[answer.DataPlane] = answer
		select {
		case pending.arrived <- struct{}{}:
		default:
		}
	}
	return struct{}{}
}

// Forecast foretells the loss of a scope by asking every data plane and the placement holder. It
// changes nothing in the fleet. A forecast without some answers says which are missing. Any
// goroutine may call it; one forecast at a time is gathered.
func (n *Node) Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error) {
	if err := scope.Validate(n.settings.Zones); err != nil {
		return drill.Forecast{}, err
	}
	fleet, err := n.forecastView(scope)
	if err != nil {
		return drill.Forecast{}, err
	}
	request := &drill.ForecastRequest{Number: nonce(), Scope: scope}
	if !n.forecasts.begin(request.Number) {
		return drill.Forecast{}, apierror.New(apierror.DrillInProgress, "a forecast is being gathered here")
	}
	publishRequest := func(open *drill.ForecastRequest) {
		n.publisher.Update(func(next *watch.Snapshot) bool {
			next.Forecast = open
			return true
		})
	}
	publishRequest(request)
	n.awaitForecasts(ctx, fleet.DataPlanes)
	publishRequest(nil)
	merged := drill.Merge(fleet, n.forecasts.end())
	n.addPlacementForecast(ctx, &merged, *request)
	logrus.WithFields(logrus.Fields{
		"scope":    scope.String(),
		"answered": len(merged.Answered),
		"missing":  merged.Missing,
	}).Info("forecast gathered")
	return merged, nil
}

// gather waits until all the data planes have answered, or the bound has passed.
func (n *Node) awaitForecasts(ctx context.Context, dataPlanes map[string]string) {
	bounded, cancel := context.WithTimeout(ctx, forecastTimeout)
	defer cancel()
	for !n.forecasts.complete(dataPlanes) {
		select {
		case <-n.forecasts.arrived:
		case <-bounded.Done():
			return
		}
	}
}

// forecastView is what this daemon itself knows for a forecast; it fails without confirmed state
// or a configuration.
func (n *Node) forecastView(scope drill.Scope) (drill.FleetView, error) {
	snapshot := n.publisher.Current()
	if !snapshot.IsFresh(n.clock()) {
		return drill.FleetView{}, apierror.New(apierror.NoMajority, "this daemon's state is not confirmed")
	}
	document, err := configuration.Decompress(snapshot.PackedConfiguration)
	if err != nil || snapshot.Revision == 0 {
		return drill.FleetView{}, apierror.New(apierror.NoConfiguration, "")
	}
	read, err := configuration.Decode(document)
	if err != nil {
		return drill.FleetView{}, err
	}
	fleet := drill.FleetView{
		Scope:       scope,
		Zones:       n.settings.Zones,
		Replicas:    snapshot.Replicas,
		Table:       configuration.NewTable(read, nil),
		Demand:      n.scheduler.Demand().Rates(),
		Members:     n.store.Membership().Current,
		MemberZones: n.members.Zones(),
		DataPlanes:  n.dataPlanes.Zones(n.clock()),
		LeaseHolder: snapshot.LeaseHolder,
	}
	return fleet, nil
}
