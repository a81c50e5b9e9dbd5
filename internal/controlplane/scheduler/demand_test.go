package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// averagingSpan is a time in seconds after which an average rate is the number of arrivals since the last update divided by
// it.
const averagingSpan = 8

func TestDemandView_CountsResentArrivalsOnce(t *testing.T) {
	loads := demand.NewLoadAggregator()
	now, total := testStart, 0.0
	view := newDemandView(func() time.Time { return now }, func() {})
	arrive := func(amount int) {
		loads.AddReport(peer.LoadReport{
			DataPlane: "edge",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}},
		}, testStart)
	}
	counted := func() float64 {
		now = now.Add(averagingSpan * time.Second)
		view.Update()
		total += averagingSpan * view.Rates()[placement.ModelKey("s", "m")]
		return total
	}
	arrive(10)
	lost := loads.DemandSummary("a", false)
	view.HandleSummary(lost)
	loads.MarkUncertain(lost)
	arrive(5)
	again := loads.DemandSummary("a", false)
	view.HandleSummary(again)
	assert.Equal(t, counted(), 10.0, "resent arrivals are counted once")
	next := loads.DemandSummary("a", false)
	view.HandleSummary(next)
	loads.MarkDelivered(next)
	loads.MarkUncertain(again)
	view.HandleSummary(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0)
	view.HandleSummary(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left to resend")
	restarted := lost
	restarted.Incarnation = "next"
	view.HandleSummary(restarted)
	assert.Equal(t, counted(), 25.0, "batch numbers restart with a new incarnation")
}

func TestDemandView_IsInDemand(t *testing.T) {
	now := testStart
	view := newDemandView(func() time.Time { return now }, func() {})
	report := func(models ...peer.ModelLoad) {
		view.HandleSummary(peer.LoadSummary{Member: "a", HasDemand: true, Incarnation: "x", Batch: uint64(now.UnixMilli()), Models: models})
		now = now.Add(averagingSpan * time.Second)
		view.Update()
	}
	t.Run("every model before the demand is known", func(t *testing.T) {
		assert.Assert(t, view.isInDemand("s", "idle"))
	})
	report(peer.ModelLoad{Backend: "s", Model: "m", Arrivals: 3}, peer.ModelLoad{Backend: "s", Model: "base/a1", Arrivals: 1})
	t.Run("a recently requested model", func(t *testing.T) { assert.Assert(t, view.isInDemand("s", "m")) })
	t.Run("a model whose adapter was requested", func(t *testing.T) { assert.Assert(t, view.isInDemand("s", "base")) })
	t.Run("not a model without requests", func(t *testing.T) { assert.Assert(t, !view.isInDemand("s", "idle")) })
	t.Run("not a model of another backend", func(t *testing.T) { assert.Assert(t, !view.isInDemand("t", "m")) })
	t.Run("not a model that only shares a name prefix", func(t *testing.T) { assert.Assert(t, !view.isInDemand("s", "bas")) })
	report()
	t.Run("not a model requested long ago", func(t *testing.T) { assert.Assert(t, !view.isInDemand("s", "m")) })
}
