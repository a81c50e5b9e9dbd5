package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// averagingSpan is the time after which an averaged rate is the arrivals since the last update divided by it, in seconds.
const averagingSpan = 8

func TestDemandView_CountsResentArrivalsOnce(t *testing.T) {
	loads := demand.NewLoadAggregator()
	now, total := testStart, 0.0
	holder := newDemandView(func() time.Time { return now }, func() {})
	arrive := func(amount int) {
		loads.AddReport(peer.LoadReport{
			DataPlane: "edge",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}},
		}, testStart)
	}
	counted := func() float64 {
		now = now.Add(averagingSpan * time.Second)
		holder.Update()
		total += averagingSpan * holder.Rates()[placement.ModelKey("s", "m")]
		return total
	}
	arrive(10)
	lost := loads.DemandSummary("a", false)
	holder.HandleSummary(lost)
	loads.MarkUncertain(lost)
	arrive(5)
	again := loads.DemandSummary("a", false)
	holder.HandleSummary(again)
	assert.Equal(t, counted(), 10.0, "sent again, counted once")
	next := loads.DemandSummary("a", false)
	holder.HandleSummary(next)
	loads.MarkDelivered(next)
	loads.MarkUncertain(again)
	holder.HandleSummary(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0)
	holder.HandleSummary(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left to send")
	restarted := lost
	restarted.Incarnation = "next"
	holder.HandleSummary(restarted)
	assert.Equal(t, counted(), 25.0, "numbers begin anew with an incarnation")
}

func TestDemandView_IsAskedFor(t *testing.T) {
	now := testStart
	view := newDemandView(func() time.Time { return now }, func() {})
	report := func(models ...peer.ModelLoad) {
		view.HandleSummary(peer.LoadSummary{Member: "a", IsDemand: true, Incarnation: "x", Batch: uint64(now.UnixMilli()), Models: models})
		now = now.Add(averagingSpan * time.Second)
		view.Update()
	}
	t.Run("everything, before the demand is known", func(t *testing.T) {
		assert.Assert(t, view.isAskedFor("s", "idle"))
	})
	report(peer.ModelLoad{Backend: "s", Model: "m", Arrivals: 3}, peer.ModelLoad{Backend: "s", Model: "base/a1", Arrivals: 1})
	t.Run("what was asked for lately", func(t *testing.T) { assert.Assert(t, view.isAskedFor("s", "m")) })
	t.Run("a model by its adapter", func(t *testing.T) { assert.Assert(t, view.isAskedFor("s", "base")) })
	t.Run("not one that nobody asks for", func(t *testing.T) { assert.Assert(t, !view.isAskedFor("s", "idle")) })
	t.Run("not one of another backend", func(t *testing.T) { assert.Assert(t, !view.isAskedFor("t", "m")) })
	t.Run("not one whose name only begins alike", func(t *testing.T) { assert.Assert(t, !view.isAskedFor("s", "bas")) })
	report()
	t.Run("not what was asked for long ago", func(t *testing.T) { assert.Assert(t, !view.isAskedFor("s", "m")) })
}
