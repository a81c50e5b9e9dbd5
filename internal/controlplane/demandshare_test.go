package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/scheduler"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// averagingSpan is the time after which an averaged rate is the arrivals since the last update divided by it, in seconds.
const averagingSpan = 8

func TestDemandView_CountsResentArrivalsOnce(t *testing.T) {
	now, total := testStart, 0.0
	sums := NewLoadAggregator()
	holder := scheduler.NewDemandView(NewDemandAggregator(), func() time.Time { return now }, func() {})
	counted := func() float64 {
		now = now.Add(averagingSpan * time.Second)
		holder.Update()
		total += averagingSpan * holder.Rates()[placement.ModelKey("s", "m")]
		return total
	}
	arrive := func(amount int) {
		sums.AddReport(peer.LoadReport{DataPlane: "edge", Models: []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}}}, rosterTestStart)
	}
	arrive(10)
	lost := sums.DemandSummary("a", false)
	holder.HandleSummary(lost)
	sums.markUncertain(lost)
	arrive(5)
	again := sums.DemandSummary("a", false)
	holder.HandleSummary(again)
	assert.Equal(t, counted(), 10.0, "told again, counted once")
	next := sums.DemandSummary("a", false)
	holder.HandleSummary(next)
	sums.markDelivered(next)
	sums.markUncertain(again)
	holder.HandleSummary(sums.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0)
	holder.HandleSummary(sums.DemandSummary("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left")
	restarted := lost
	restarted.Incarnation = "next"
	holder.HandleSummary(restarted)
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
