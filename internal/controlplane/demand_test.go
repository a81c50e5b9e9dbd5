package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

func TestScheduler_CountsResentArrivalsOnce(t *testing.T) {
	loads := demand.NewLoadAggregator()
	holder := &Scheduler{
		node:       &Node{clock: rosterTestStart.Local},
		wake:       make(chan struct{}, 1),
		arrivals:   map[string]float64{},
		prefillMs:  map[string]float64{},
		planInputs: planInputs{aggregator: demand.NewDemandAggregator()},
	}
	arrive := func(amount int) {
		loads.AddReport(peer.LoadReport{
			DataPlane: "edge",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}},
		}, rosterTestStart)
	}
	counted := func() float64 { return holder.arrivals[placement.ModelKey("s", "m")] }
	arrive(10)
	lost := loads.DemandSummary("a", false)
	holder.handleDemand(lost)
	loads.MarkUncertain(lost)
	arrive(5)
	again := loads.DemandSummary("a", false)
	holder.handleDemand(again)
	assert.Equal(t, counted(), 10.0, "sent again, counted once")
	next := loads.DemandSummary("a", false)
	holder.handleDemand(next)
	loads.MarkDelivered(next)
	loads.MarkUncertain(again)
	holder.handleDemand(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0)
	holder.handleDemand(loads.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left to send")
	restarted := lost
	restarted.Incarnation = "next"
	holder.handleDemand(restarted)
	assert.Equal(t, counted(), 25.0, "numbers begin anew with an incarnation")
}
