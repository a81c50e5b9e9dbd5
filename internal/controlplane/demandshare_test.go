package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

func TestScheduler_CountsResentArrivalsOnce(t *testing.T) {
	sums := NewLoadAggregator()
	holder := &Scheduler{
		node: &Node{clock: rosterTestStart.Local}, wake: make(chan struct{}, 1),
		arrivals: map[string]float64{}, prefillMs: map[string]float64{}, planInputs: planInputs{aggregator: NewDemandAggregator()},
	}
	arrive := func(amount int) {
		sums.AddReport(peer.LoadReport{DataPlane: "edge", Models: []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}}}, rosterTestStart)
	}
	counted := func() float64 { return holder.arrivals[placement.ModelKey("s", "m")] }
	arrive(10)
	lost := sums.DemandSummary("a", false)
	holder.handleDemand(lost)
	sums.markUncertain(lost)
	arrive(5)
	again := sums.DemandSummary("a", false)
	holder.handleDemand(again)
	assert.Equal(t, counted(), 10.0, "told again, counted once")
	next := sums.DemandSummary("a", false)
	holder.handleDemand(next)
	sums.markDelivered(next)
	sums.markUncertain(again)
	holder.handleDemand(sums.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0)
	holder.handleDemand(sums.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left")
	restarted := lost
	restarted.Incarnation = "next"
	holder.handleDemand(restarted)
	assert.Equal(t, counted(), 25.0, "numbers begin anew with a life")
}

func TestReceivedBatches_EachIsNewOnce(t *testing.T) {
	heard := &receivedBatches{numbers: map[uint64]bool{}}
	for _, number := range []uint64{2, 1, 5, 3} {
		assert.Assert(t, heard.markReceived(number))
		assert.Assert(t, !heard.markReceived(number))
	}
	assert.Assert(t, heard.markReceived(batchWindow+4))
	assert.Assert(t, !heard.markReceived(4), "too old to tell")
	assert.Assert(t, len(heard.numbers) <= batchWindow)
}
