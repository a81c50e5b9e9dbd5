package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

func TestGivenAShareOfWhichTheAnswerIsLostThenItsArrivalsCountOnce(t *testing.T) {
	sums := NewSums()
	holder := &Scheduler{
		daemon: &Daemon{clock: rosterStart.Local}, nudge: make(chan struct{}, 1),
		counted: map[string]float64{}, reading: map[string]float64{}, feed: feed{tally: NewTally()},
	}
	arrive := func(amount int) {
		sums.Hear(peer.LoadReport{Daemon: "edge", Models: []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: amount}}}, rosterStart)
	}
	counted := func() float64 { return holder.counted[place.ModelKey("s", "m")] }
	arrive(10)
	lost := sums.Demand("a", false)
	holder.hearDemand(lost)
	sums.restore(lost)
	arrive(5)
	again := sums.Demand("a", false)
	holder.hearDemand(again)
	assert.Equal(t, counted(), 10.0, "told again, counted once")
	next := sums.Demand("a", false)
	holder.hearDemand(next)
	sums.delivered(next)
	sums.restore(again)
	holder.hearDemand(sums.Demand("a", false))
	assert.Equal(t, counted(), 15.0)
	holder.hearDemand(sums.Demand("a", false))
	assert.Equal(t, counted(), 15.0, "nothing is left")
	restarted := lost
	restarted.Life = "next"
	holder.hearDemand(restarted)
	assert.Equal(t, counted(), 25.0, "numbers begin anew with a life")
}

func TestGivenBatchesInAnyOrderThenEachIsNewOnce(t *testing.T) {
	heard := &heardBatches{numbers: map[uint64]bool{}}
	for _, number := range []uint64{2, 1, 5, 3} {
		assert.Assert(t, heard.isNew(number))
		assert.Assert(t, !heard.isNew(number))
	}
	assert.Assert(t, heard.isNew(batchesKept+4))
	assert.Assert(t, !heard.isNew(4), "too old to tell")
	assert.Assert(t, len(heard.numbers) <= batchesKept)
}
