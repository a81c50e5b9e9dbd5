package roster

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// testNode implements all collaborators of a roster. It holds the lease if its fence is set, and delivers updates to the
// receiver, if there is one.
type testNode struct {
	fence     uint64
	published []discovery.Replica
	asOf      time.Time
	receiver  *Roster
	sent      []peer.RosterUpdate
}

func (n *testNode) HoldsLease() bool      { return n.fence > 0 }
func (n *testNode) Fence() (uint64, bool) { return n.fence, n.fence > 0 }
func (n *testNode) WithObserved(replicas []discovery.Replica, _ time.Time) ([]discovery.Replica, []string) {
	return replicas, nil
}
func (n *testNode) DemandRates() map[string]peer.Rate { return map[string]peer.Rate{"m": {}} }
func (n *testNode) AdoptUpdate(peer.RosterUpdate)     {}
func (n *testNode) RecordListed([]discovery.Replica)  {}
func (n *testNode) OtherControlPlanes() []string      { return []string{"other"} }
func (n *testNode) OtherControlPlaneCount() int       { return 1 }
func (n *testNode) LeaseHolder() string               { return "" }
func (n *testNode) PublishRoster(replicas []discovery.Replica, _ []string, asOf time.Time) {
	n.published, n.asOf = replicas, asOf
}
func (n *testNode) PublishedRoster() ([]discovery.Replica, []string, time.Time) {
	return n.published, nil, n.asOf
}
func (n *testNode) Call(ctx context.Context, _ peer.Method, _ string, message, reply any) error {
	update := message.(peer.RosterUpdate)
	n.sent = append(n.sent, update)
	if n.receiver == nil {
		return errors.New("unreachable")
	}
	*reply.(*UpdateReply) = n.receiver.HandleUpdate(ctx, update)
	return nil
}

func newTestRoster(node *testNode, self string) *Roster {
	config := Config{Self: self, Incarnation: self, Clock: func() time.Time { return testStart.Add(time.Minute) }}
	return New(config, nil, node, node, node)
}

func TestRoster_SendsDifferencesFromAcknowledgedList(t *testing.T) {
	holder, follower := &testNode{fence: 1}, &testNode{}
	sender, receiver := newTestRoster(holder, "a"), newTestRoster(follower, "b")
	send := func(content updateContent) peer.RosterUpdate {
		sender.sendAll(t.Context(), content)
		sender.sends.Wait()
		return holder.sent[len(holder.sent)-1]
	}
	sender.Adopt([]discovery.Replica{{ID: "i-1"}, {ID: "i-2"}}, 1, testStart)
	assert.Equal(t, send(withRates).BaseVersion, "", "nothing is acknowledged yet")

	holder.receiver = receiver
	complete := send(withRates)
	assert.Equal(t, complete.BaseVersion, "", "an update that failed isn't acknowledged")
	assert.Equal(t, len(complete.Rates), 1)
	assert.DeepEqual(t, receiver.Replicas(), sender.Replicas())

	sender.Adopt([]discovery.Replica{{ID: "i-2"}, {ID: "i-3"}}, 1, testStart.Add(time.Second))
	difference := send(listOnly)
	assert.Equal(t, difference.BaseVersion, complete.Version)
	assert.DeepEqual(t, difference.Replicas, []discovery.Replica{{ID: "i-3"}})
	assert.DeepEqual(t, difference.Removed, []string{"i-1"})
	assert.Equal(t, len(difference.Rates), 0)
	assert.DeepEqual(t, receiver.Replicas(), sender.Replicas())
	assert.DeepEqual(t, follower.published, sender.Replicas())
}

func TestRoster_SendsNothingWithoutLease(t *testing.T) {
	node := &testNode{}
	roster := newTestRoster(node, "a")
	roster.sendAll(t.Context(), withRates)
	roster.sends.Wait()
	assert.Equal(t, len(node.sent), 0)
}

func TestDeliveries_ResendsOnceForRequestsDuringSend(t *testing.T) {
	deliveries := newDeliveries()
	assert.Assert(t, deliveries.begin("a"))
	assert.Assert(t, !deliveries.begin("a"))
	assert.Assert(t, !deliveries.begin("a"))
	sent := &sentList{version: "1"}
	assert.Assert(t, deliveries.end("a", sent))
	assert.Equal(t, deliveries.acknowledgedBy("a"), sent)
	assert.Assert(t, !deliveries.end("a", nil))
	assert.Assert(t, deliveries.acknowledgedBy("a") == nil)
	assert.Assert(t, deliveries.begin("a"))
}
