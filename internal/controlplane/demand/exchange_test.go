package demand

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// testHost is one of two control planes, "a" and "b".
type testHost struct {
	self        string
	leaseHolder string
	roster      []discovery.Replica
}

func (h *testHost) OtherControlPlanes() []string {
	if h.self == "a" {
		return []string{"b"}
	}
	return []string{"a"}
}

func (h *testHost) LeaseHolder() string { return h.leaseHolder }

func (h *testHost) Roster() []discovery.Replica { return h.roster }

func (h *testHost) SubscribedReplicas(string) peer.ReplicaIDs {
	return peer.NewReplicaIDs([]string{"i-1"})
}

// testCaller passes calls to another exchange and records the summaries.
type testCaller struct {
	lock      sync.Mutex
	receiver  *Exchange
	summaries []peer.LoadSummary
	// loseReplies makes calls fail after they were handled.
	loseReplies bool
	// delay is how long each call takes. If its context ends before that, the call returns after another cancelDelay.
	delay       time.Duration
	cancelDelay time.Duration
}

func (c *testCaller) Call(ctx context.Context, _ peer.Method, _ string, request, reply any) error {
	summary := request.(peer.LoadSummary)
	c.lock.Lock()
	c.summaries = append(c.summaries, summary)
	c.lock.Unlock()
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
		time.Sleep(c.cancelDelay)
		return ctx.Err()
	}
	answer := c.receiver.HandleLoadSummary(ctx, summary)
	if c.loseReplies {
		return errors.New("no reply")
	}
	if target, wanted := reply.(*peer.LoadSummaryReply); wanted {
		*target = answer
	}
	return nil
}

// newPair returns the exchanges of control planes "a" and "b", of which "b" holds the lease, and the caller that delivers the
// calls of "a" to "b". The demand summaries that "b" receives are appended to demands.
func newPair(demands *[]peer.LoadSummary) (first, second *Exchange, caller *testCaller) {
	roster := []discovery.Replica{{ID: "i-1"}, {ID: "i-2"}}
	caller = &testCaller{}
	first = NewExchange(Sender{Member: "a", Incarnation: "a1"}, &testHost{self: "a", leaseHolder: "b", roster: roster}, caller,
		NewLoadAggregator(), func(peer.LoadSummary) {}, nil, time.Now)
	second = NewExchange(Sender{Member: "b", Incarnation: "b1"}, &testHost{self: "b", leaseHolder: "b", roster: roster}, caller,
		NewLoadAggregator(), func(summary peer.LoadSummary) { *demands = append(*demands, summary) }, nil, time.Now)
	caller.receiver = second
	return first, second, caller
}

// runFor runs the exchange for the duration and waits until it has stopped.
func runFor(t *testing.T, exchange *Exchange, duration time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	exchange.Run(ctx)
}

func TestExchange_PacksLoadForDataPlaneWithSameReplicas(t *testing.T) {
	host := &testHost{self: "a", roster: []discovery.Replica{{ID: "i-1"}}}
	exchange := NewExchange(Sender{Member: "a"}, host, &testCaller{}, NewLoadAggregator(), nil, nil, time.Now)
	other := peer.ReplicaLoad{Running: 3, Tokens: 250, PrefillTokens: 100, Outcomes: peer.Outcomes{Served: 4, Failed: 1}}
	exchange.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "other", Replicas: map[string]peer.ReplicaLoad{"i-1": other}})
	known := peer.NewReplicaIDs([]string{"i-1"})
	plain := exchange.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "edge"})
	t.Run("the same replicas", func(t *testing.T) {
		reply := exchange.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "edge", Endpoints: known.Digest})
		assert.Assert(t, reply.Packed != nil)
		unpacked, ok := reply.Unpacked(known)
		assert.Assert(t, ok)
		want := plain.Replicas["i-1"]
		want.Tokens = 300 // rounded up to hundreds
		assert.DeepEqual(t, unpacked, peer.FleetLoad{Total: plain.Total, Replicas: map[string]peer.ReplicaLoad{"i-1": want}})
	})
	t.Run("different replicas", func(t *testing.T) {
		different := peer.NewReplicaIDs([]string{"i-1", "i-2"})
		reply := exchange.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "edge", Endpoints: different.Digest})
		assert.Assert(t, reply.Packed == nil)
		unpacked, ok := reply.Unpacked(different)
		assert.Assert(t, ok)
		assert.DeepEqual(t, unpacked, plain)
	})
}

func TestExchange_SharesLoadWithOtherControlPlanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, second, caller := newPair(&demands)
		first.HandleLoadReport(t.Context(), reportOutcomes("one", "north", 1, 1, 3))
		runFor(t, first, summaryInterval+time.Millisecond)
		assert.Equal(t, len(caller.summaries), 1)
		assert.Assert(t, caller.summaries[0].Packed != nil)
		fleet := second.HandleLoadReport(t.Context(), reportOutcomes("two", "north", 0, 0, 5))
		assert.DeepEqual(t, fleet.Replicas, map[string]peer.ReplicaLoad{"i-1": {
			Running:    3,
			Tokens:     100,
			Outcomes:   peer.Outcomes{Served: 1, Failed: 1},
			ZoneServed: 1,
			ZoneFailed: 1,
		}})
	})
}

func TestExchange_SendsUnpackedLoadAfterRosterMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, second, caller := newPair(&demands)
		second.host.(*testHost).roster = []discovery.Replica{{ID: "i-1"}}
		first.HandleLoadReport(t.Context(), reportOutcomes("one", "north", 0, 0, 3))
		first.sendPeriodic(t.Context(), true)
		synctest.Wait()
		assert.Equal(t, len(second.loads.members), 0, "loads packed by another roster are ignored")
		first.sendPeriodic(t.Context(), true)
		synctest.Wait()
		assert.Assert(t, caller.summaries[0].Packed != nil && caller.summaries[1].Packed == nil)
		fleet := second.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "two"})
		assert.Equal(t, fleet.Replicas["i-1"].Running, 3)
	})
}

func TestExchange_SendsNewlyWaitingAtOnceAndResendsLostBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, _, caller := newPair(&demands)
		caller.loseReplies = true
		first.HandleLoadReport(t.Context(), peer.LoadReport{
			DataPlane: "one",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Waiting: 1, Arrivals: 4}},
		})
		runFor(t, first, summaryInterval/2)
		assert.Equal(t, len(demands), 1, "sent at once")
		assert.Assert(t, demands[0].Partial)
		runFor(t, first, (summariesPerDemand+1)*summaryInterval)
		assert.Equal(t, len(demands), 2)
		assert.Assert(t, !demands[1].Partial)
		for _, summary := range demands {
			assert.Equal(t, summary.Incarnation, "a1")
			assert.Equal(t, summary.Batch, uint64(1), "the same batch, as its reply was lost")
			assert.Equal(t, summary.Models[0].Arrivals, 4)
		}
	})
}

func TestExchange_DeliversOwnDemandLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		_, second, caller := newPair(&demands)
		second.HandleLoadReport(t.Context(), peer.LoadReport{
			DataPlane: "one",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: 4}},
		})
		second.sendDemand(t.Context(), false)
		second.sendDemand(t.Context(), false)
		assert.Equal(t, len(demands), 2)
		assert.Equal(t, demands[0].Models[0].Arrivals, 4)
		assert.Equal(t, demands[1].Batch, uint64(0), "delivered, so not sent again")
		assert.Equal(t, len(second.loads.arrivals.inFlight), 0)
		second.host.(*testHost).leaseHolder = ""
		second.sendDemand(t.Context(), false)
		assert.Equal(t, len(demands), 2, "no lease holder to send it to")
		assert.Equal(t, len(caller.summaries), 0)
	})
}

func TestExchange_RunWaitsForPendingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, second, caller := newPair(&demands)
		caller.delay, caller.cancelDelay = time.Hour, 10*time.Millisecond
		first.HandleLoadReport(t.Context(), reportOutcomes("one", "north", 0, 0, 3))
		startedAt := time.Now()
		runFor(t, first, time.Second)
		assert.Equal(t, time.Since(startedAt), time.Second+caller.cancelDelay, "Run waits until the calls have ended with the context")
		assert.Equal(t, len(second.loads.members), 0)
		assert.Assert(t, len(caller.summaries) > 1, "a pending call doesn't block the next one")
	})
}

func TestExchange_SendsUnchangedLoadOnlyWithDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, second, caller := newPair(&demands)
		first.HandleLoadReport(t.Context(), reportOutcomes("one", "north", 0, 0, 3))
		runFor(t, first, 5*summaryInterval+time.Millisecond)
		assert.Equal(t, len(caller.summaries), 3, "a changed load, and two periodic demand summaries")
		assert.Equal(t, len(demands), 2)
		for _, summary := range caller.summaries[1:] {
			assert.Assert(t, summary.HasDemand && summary.HasLoad())
		}
		assert.Equal(t, second.HandleLoadReport(t.Context(), peer.LoadReport{DataPlane: "two"}).Replicas["i-1"].Running, 3)
	})
}

func TestExchange_AcceptsDemandDespiteRosterMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var demands []peer.LoadSummary
		first, second, _ := newPair(&demands)
		second.host.(*testHost).roster = []discovery.Replica{{ID: "i-1"}}
		first.HandleLoadReport(t.Context(), peer.LoadReport{
			DataPlane: "one",
			Models:    []peer.ModelLoad{{Backend: "s", Model: "m", Arrivals: 4}},
			Replicas:  map[string]peer.ReplicaLoad{"i-1": {Running: 3}},
		})
		first.sendPeriodic(t.Context(), true)
		synctest.Wait()
		assert.Equal(t, len(demands), 1)
		assert.Equal(t, len(second.loads.members), 0)
		assert.Equal(t, len(first.loads.arrivals.inFlight), 0, "delivered")
	})
}
