package members

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
	"ferryspar/internal/peer"
	"ferryspar/internal/wallclock"
)

const testSegmentBytes = 64 << 10

// testNetwork delivers heartbeats between managers by address, but no keystore messages.
type testNetwork struct {
	managers map[string]*Manager
	now      time.Time
}

var errUnreachable = errors.New("unreachable")

func (n *testNetwork) Send(context.Context, string, keystore.Message) (keystore.Reply, error) {
	return keystore.Reply{}, errUnreachable
}

func (n *testNetwork) Call(ctx context.Context, _ peer.Method, address string, message, reply any) error {
	manager := n.managers[address]
	if manager == nil {
		return errUnreachable
	}
	*reply.(*HeartbeatReply) = manager.HandleHeartbeat(ctx, message.(peer.Heartbeat))
	return nil
}

// testHost records the calls of a manager to its host.
type testHost struct {
	others  []string
	leaving []string
}

func (h *testHost) IsConfirmed(time.Time) bool            { return false }
func (h *testHost) HeartbeatsSent(others []string)        { h.others = others }
func (h *testHost) MemberLeaving(address string)          { h.leaving = append(h.leaving, address) }
func (h *testHost) MembershipCommitted(keystore.Register) {}

// add adds a node to the network that is a voting member of a system bootstrapped with the given seeds.
func (n *testNetwork) add(t *testing.T, self string, seeds ...string) (*Manager, *testHost) {
	directory, err := keystore.NewDirectory(t.TempDir())
	assert.NilError(t, err)
	wal, err := keystore.OpenWAL(directory, keystore.SegmentCount, testSegmentBytes)
	assert.NilError(t, err)
	bootstrap := keystore.BootstrapMembership(seeds)
	assert.NilError(t, wal.Append(keystore.BootstrapRegisters(bootstrap, 1)))
	clock := func() time.Time { return n.now }
	acceptor := keystore.NewAcceptor(self, wal, keystore.AcceptorConfig{LeaseDuration: time.Second, Clock: clock, Seeds: seeds}, true)
	store := keystore.NewStore(self, 1, n, bootstrap)
	host := &testHost{}
	config := Config{Self: self, NodeName: self, Zone: "zone-" + self, Seeds: seeds, DesiredMembers: 3, Clock: clock, StartedAt: n.now,
		TimeOfDay: wallclock.NewEstimator(n.now)}
	manager := NewManager(config, store, acceptor, n, dataplanes.NewRegistry(), host)
	n.managers[self] = manager
	return manager, host
}

// exchange makes every node send one round of heartbeats.
func (n *testNetwork) exchange(t *testing.T) {
	for _, manager := range n.managers {
		manager.sendHeartbeats(t.Context())
		manager.inFlight.Wait()
	}
}

func TestManager_HeartbeatsMakeNodesReachable(t *testing.T) {
	network := &testNetwork{managers: map[string]*Manager{}, now: time.Now()}
	first, host := network.add(t, "a", "a", "b")
	second, _ := network.add(t, "b", "a", "b")
	assert.DeepEqual(t, first.PeerAddresses(), []string{"b"})
	assert.Assert(t, !first.IsReachable("b", network.now), "a seed from which no heartbeat was received is not reachable")
	second.dataPlanes.RecordContacts([]string{"edge"}, network.now)
	network.exchange(t)
	assert.Assert(t, first.IsReachable("b", network.now))
	assert.Assert(t, !first.IsReachable("a", network.now), "a node is not its own peer")
	assert.DeepEqual(t, first.Zones(), map[string]string{"a": "zone-a", "b": "zone-b"})
	assert.DeepEqual(t, host.others, []string{"b"})
	assert.Equal(t, first.Silent([]string{"b"}, network.now), "")

	first.AddPeers([]string{"c", "a"})
	assert.DeepEqual(t, first.PeerAddresses(), []string{"b", "c"})
	assert.Assert(t, !first.IsReachable("c", network.now), "a node that was only named by others is not reachable")
	assert.Equal(t, first.Silent([]string{"c", "b"}, network.now), "", "c is not a member")

	network.now = network.now.Add(membership.SuspectAfter + 1)
	assert.Assert(t, !first.IsReachable("b", network.now))
	assert.Equal(t, first.Silent([]string{"c", "b"}, network.now), "b")
	assert.DeepEqual(t, first.View().Suspects(), []string{"b"})
}

func TestManager_HeartbeatsAnnounceLeaving(t *testing.T) {
	network := &testNetwork{managers: map[string]*Manager{}, now: time.Now()}
	first, host := network.add(t, "a", "a", "b")
	second, _ := network.add(t, "b", "a", "b")
	assert.Assert(t, !second.IsLeaving())
	second.StartLeaving()
	assert.Assert(t, second.IsLeaving())
	network.exchange(t)
	assert.DeepEqual(t, host.leaving, []string{"b"})
	assert.Assert(t, !first.IsReachable("b", network.now))
	assert.Assert(t, first.View().Peers["b"].Leaving)
}

func TestManager_RunReturnsWhenContextIsDone(t *testing.T) {
	network := &testNetwork{managers: map[string]*Manager{}, now: time.Now()}
	manager, _ := network.add(t, "a", "a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		manager.Run(ctx)
		close(done)
	}()
	cancel()
	<-done
}

func TestPendingChange_RestartsForAnotherChange(t *testing.T) {
	start := time.Now()
	change := membership.Change{Membership: keystore.Membership{Version: 2}, Reason: "lost"}
	var due pendingChange
	due.observe(change, start)
	due.observe(change, start.Add(time.Second))
	assert.Equal(t, due.since, start)
	change.Reason = "leaving"
	due.observe(change, start.Add(2*time.Second))
	assert.Equal(t, due.since, start.Add(2*time.Second))
}
