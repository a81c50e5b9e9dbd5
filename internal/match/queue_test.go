package match

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGivenOrdersInAnySequenceThenTheQueueIsTheirStableSort(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		matcher := newGrown(3, 3, 3, func(int) int { return 0 }).matcher
		var arrived []*Order
		for range draw.IntN(60) {
			order := &Order{Priority: draw.IntN(3), Deadline: noon.Add(time.Duration(draw.IntN(5)) * time.Second)}
			arrived = append(arrived, order)
			matcher.queue(order)
		}
		slices.SortStableFunc(arrived, byRank)
		assert.Assert(t, slices.Equal(arrived, matcher.waiting))
	}
}

func TestGivenAFreedReplicaThenOnlyOrdersItCanServeAreTriedAndTheRestSoonAfter(t *testing.T) {
	made := newGrown(3, 3, 3, func(int) int { return 0 })
	replicas := made.fleet.Load().Replicas
	for position, replica := range replicas {
		replica.Models = map[string]bool{"model-" + string(rune('0'+position)): true}
		made.matcher.open(replica.ID).running = grownSlots
	}
	orders := map[string]*Order{}
	for range 3 {
		order := made.order()
		orders[order.Model] = order
		made.matcher.Begin(order)
	}
	made.now = made.now.Add(time.Second)
	made.matcher.Wake()
	assert.Equal(t, len(made.matcher.waiting), 3)
	made.matcher.open("i-0").running = 3
	made.matcher.open("i-1").running = 3
	made.now = made.now.Add(time.Millisecond)
	made.matcher.Tell(Report{Ticket: &Ticket{order: orders["model-0"], replica: "i-0"}, Outcome: OutcomeServed, At: made.now})
	assert.Equal(t, len(orders["model-0"].Answer), 1)
	assert.Equal(t, len(orders["model-1"].Answer), 0)
	wait, needed := made.matcher.NextWake()
	assert.Assert(t, needed && wait < revisit)
	made.now = made.now.Add(wait)
	made.matcher.Wake()
	assert.Equal(t, len(orders["model-1"].Answer), 1)
	assert.Equal(t, len(orders["model-2"].Answer), 0)
}

func TestGivenAnsweredOrdersThatAreKeptThenTheyHoldNoSnapshotOfTheFleet(t *testing.T) {
	made := newGrown(3, 1, 3, func(int) int { return 0 })
	order := made.order()
	made.matcher.Begin(order)
	command := <-order.Answer
	assert.Assert(t, command.Ticket != nil)
	assert.Assert(t, order.indexed == nil && order.holders == nil)
}
