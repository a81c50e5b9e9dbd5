package drillcontrol

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/drill"
)

// testFleet is a fleet of two data planes of which only those in responses respond to a forecast request.
type testFleet struct {
	*testNode
	forecaster *Forecaster
	responses  []string
	plan       drill.PlacementPlan
	published  []*drill.ForecastRequest
}

func (f *testFleet) MemberZones() map[string]string  { return map[string]string{"self": "north"} }
func (f *testFleet) DemandRates() map[string]float64 { return nil }
func (f *testFleet) DataPlaneZones() map[string]string {
	return map[string]string{"a": "north", "b": "south"}
}

func (f *testFleet) PublishForecastRequest(request *drill.ForecastRequest) {
	f.published = append(f.published, request)
	if request == nil {
		return
	}
	for _, name := range f.responses {
		response := drill.ForecastResponse{Number: request.Number, DataPlane: name, Ready: true}
		f.forecaster.HandleResponse(context.Background(), response)
	}
}

func (f *testFleet) PlanPlacement(context.Context, string, drill.ForecastRequest) drill.PlacementPlan {
	return f.plan
}

func newTestForecaster(responses ...string) (*Forecaster, *testFleet) {
	controller, node := newTestController()
	node.state.Revision = 1
	node.state.PackedConfiguration = configuration.Compress([]byte(`{"revision":1}`))
	node.state.LeaseHolder = "holder"
	fleet := &testFleet{testNode: node, responses: responses, plan: drill.PlacementPlan{HoldsLease: true}}
	fleet.forecaster = NewForecaster(controller.config, fleet)
	return fleet.forecaster, fleet
}

func TestForecaster_NamesNodesThatDidNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forecaster, fleet := newTestForecaster("a", "b")
		forecast, err := forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
		assert.NilError(t, err)
		assert.Assert(t, !forecast.Partial)
		assert.Assert(t, len(fleet.published) == 2 && fleet.published[1] == nil, "the request is withdrawn")

		forecaster, fleet = newTestForecaster("a")
		fleet.plan = drill.PlacementPlan{}
		forecast, err = forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
		assert.NilError(t, err)
		assert.Assert(t, forecast.Partial)
		assert.DeepEqual(t, forecast.Missing, []string{"b", "placement holder holder"})
	})
}

func TestForecaster_CollectsOneForecastAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forecaster, _ := newTestForecaster("a")
		done := make(chan error)
		go func() {
			_, err := forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
			done <- err
		}()
		synctest.Wait()
		_, err := forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
		assert.Equal(t, apierror.From(err).Kind, apierror.DrillInProgress)
		assert.NilError(t, <-done, "the first forecast ends at its timeout")
	})
}

func TestForecaster_RequiresConfirmedState(t *testing.T) {
	forecaster, fleet := newTestForecaster()
	fleet.state.IsConfirmed = false
	_, err := forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
	assert.Equal(t, apierror.From(err).Kind, apierror.NoMajority)
	fleet.state.IsConfirmed, fleet.state.Revision = true, 0
	_, err = forecaster.Forecast(t.Context(), drill.Scope{Zone: "north"})
	assert.Equal(t, apierror.From(err).Kind, apierror.NoConfiguration)
	assert.Equal(t, len(fleet.published), 0)
}
