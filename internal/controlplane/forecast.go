package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
)

// forecasts gathers the data planes' answers to one question at a time. Its lock guards it.
type forecasts struct {
	lock sync.Mutex
	// number is the question's, or 0 if none is open.
	number   uint64
	answers  map[string]drill.Answer
	gathered chan struct{}
}

// gatherBound is how long the data planes may take to answer.
const gatherBound = 2 * time.Second

// begin opens a question, and reports false if another is open.
func (f *forecasts) begin(number uint64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.number != 0 {
		return false
	}
	f.number = number
	f.answers = map[string]drill.Answer{}
	f.gathered = make(chan struct{}, 1)
	return true
}

// end closes the question and returns its answers.
func (f *forecasts) end() []drill.Answer {
	f.lock.Lock()
	defer f.lock.Unlock()
	list := make([]drill.Answer, 0, len(f.answers))
	for _, answer := range f.answers {
		list = append(list, answer)
	}
	f.number, f.answers = 0, nil
	return list
}

// has tells whether all the data planes have answered.
func (f *forecasts) has(edges map[string]string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name := range edges {
		if _, known := f.answers[name]; !known {
			return false
		}
	}
	return true
}

// hearForecast takes in a data plane's answer to the open question.
func (d *Daemon) hearForecast(ctx context.Context, answer drill.Answer) struct{} {
	held := &d.forecasts
	held.lock.Lock()
	defer held.lock.Unlock()
	if held.number != 0 && answer.Number == held.number {
		held.answers[answer.Edge] = answer
		select {
		case held.gathered <- struct{}{}:
		default:
		}
	}
	return struct{}{}
}

// Forecast foretells the loss of a scope by asking every data plane and the placement holder. It
// changes nothing in the fleet. A forecast without some answers says which are missing. Any
// goroutine may call it; one forecast at a time is gathered.
func (d *Daemon) Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error) {
	if err := scope.Check(d.settings.Zones); err != nil {
		return drill.Forecast{}, err
	}
	basis, err := d.forecastBasis(scope)
	if err != nil {
		return drill.Forecast{}, err
	}
	question := &drill.Question{Number: nonce(), Scope: scope}
	if !d.forecasts.begin(question.Number) {
		return drill.Forecast{}, apierror.New(apierror.DrillInProgress, "a forecast is being gathered here")
	}
	ask := func(asked *drill.Question) {
		d.publisher.Update(func(next *Snapshot) bool {
			next.Forecast = asked
			return true
		})
	}
	ask(question)
	d.gather(ctx, basis.Edges)
	ask(nil)
	merged := drill.Merge(basis, d.forecasts.end())
	d.addPlan(ctx, &merged, *question)
	logrus.WithFields(logrus.Fields{
		"scope":    scope.String(),
		"answered": len(merged.Answered),
		"missing":  merged.Missing,
	}).Info("forecast gathered")
	return merged, nil
}

// gather waits until all the data planes have answered, or the bound has passed.
func (d *Daemon) gather(ctx context.Context, edges map[string]string) {
	bounded, cancel := context.WithTimeout(ctx, gatherBound)
	defer cancel()
	for !d.forecasts.has(edges) {
		select {
		case <-d.forecasts.gathered:
		case <-bounded.Done():
			return
		}
	}
}

// forecastBasis is what this daemon itself knows for a forecast; it fails without confirmed state
// or a configuration.
func (d *Daemon) forecastBasis(scope drill.Scope) (drill.FleetView, error) {
	snapshot := d.publisher.Current()
	if !snapshot.IsFresh(d.clock()) {
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
	basis := drill.FleetView{
		Scope:       scope,
		Zones:       d.settings.Zones,
		Replicas:    snapshot.Replicas,
		Table:       configuration.NewTable(read, nil),
		Demand:      d.scheduler.demandRates(),
		Members:     d.store.Membership().Current,
		MemberZones: map[string]string{d.self: d.settings.Zone},
		Holder:      snapshot.LeaseHolder,
	}
	d.watching.Lock()
	defer d.watching.Unlock()
	basis.Edges = d.edges.Zones(d.clock())
	for name, view := range d.remembered {
		if view.Left {
			delete(basis.Edges, name)
		}
	}
	for address, greeting := range d.joining {
		basis.MemberZones[address] = greeting.Zone
	}
	return basis, nil
}
