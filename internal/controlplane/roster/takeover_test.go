package roster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// platform serves the platform's list and counts the reads.
type platform struct {
	lock  sync.Mutex
	reads int
	down  bool
	// duration is how long a read takes.
	duration time.Duration
	// short makes the list one page long.
	short bool
}

func (p *platform) List(context.Context, discovery.ListOptions) ([]discovery.Replica, error) {
	time.Sleep(p.duration)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reads++
	if p.down {
		return nil, discovery.ErrThrottled
	}
	return []discovery.Replica{{ID: "i-1"}}, nil
}

func (p *platform) readCount() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reads
}

func (p *platform) PageCount() int {
	if p.short {
		return 1
	}
	return 60
}

// noLease is the Placement of a node without the lease.
type noLease struct{}

func (noLease) HoldsLease() bool      { return false }
func (noLease) Fence() (uint64, bool) { return 0, false }
func (noLease) WithObserved(replicas []discovery.Replica, _ time.Time) ([]discovery.Replica, []string) {
	return replicas, nil
}
func (noLease) DemandRates() map[string]peer.Rate { return nil }
func (noLease) AdoptUpdate(peer.RosterUpdate)     {}
func (noLease) RecordListed([]discovery.Replica)  {}

// discardPublisher discards what is published.
type discardPublisher struct{}

func (discardPublisher) PublishRoster([]discovery.Replica, []string, time.Time) {}
func (discardPublisher) PublishedRoster() ([]discovery.Replica, []string, time.Time) {
	return nil, nil, time.Time{}
}

// lastHolder is the node that last held the lease.
const lastHolder = "c-3"

// nodes is the Cluster of the node self: all holds the rosters of all control planes by address, some of which may be down.
type nodes struct {
	self string
	all  map[string]*Roster
	down map[string]bool
}

func (nodes) LeaseHolder() string { return lastHolder }

func (n nodes) OtherControlPlanes() []string {
	var others []string
	for address := range n.all {
		if address != n.self {
			others = append(others, address)
		}
	}
	return others
}

func (n nodes) OtherControlPlaneCount() int { return len(n.all) - 1 }

func (n nodes) Call(ctx context.Context, method peer.Method, address string, message, reply any) error {
	if method != peer.MethodFetchRoster || n.down[address] {
		return errors.New("not reached")
	}
	*reply.(*FetchReply) = n.all[address].HandleFetch(ctx, message.(FetchRequest))
	return nil
}

// startRosters starts count control planes without a lease holder, except those that are down.
func startRosters(t *testing.T, count int, listed *platform, down ...string) map[string]*Roster {
	all := map[string]*Roster{}
	unreachable := map[string]bool{}
	for _, address := range down {
		unreachable[address] = true
	}
	for number := range count {
		address := fmt.Sprintf("c-%d", number)
		config := Config{Self: address, CallsPerSecond: 400, Clock: time.Now}
		all[address] = New(config, listed, noLease{}, discardPublisher{}, nodes{self: address, all: all, down: unreachable})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for address, roster := range all {
		if !unreachable[address] {
			running.Go(func() { roster.Run(ctx) })
		}
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return all
}

func TestRoster_OneNodeReadsLongListAfterRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{}
		all := startRosters(t, 9, listed)
		time.Sleep(200 * time.Millisecond)
		for address, roster := range all {
			assert.Equal(t, len(roster.Replicas()), 1, address)
		}
		assert.Equal(t, listed.readCount(), 1)
	})
}

func TestRoster_AllNodesReadShortListAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{short: true}
		all := startRosters(t, 3, listed)
		time.Sleep(time.Millisecond)
		for address, roster := range all {
			assert.Equal(t, len(roster.Replicas()), 1, address)
		}
	})
}

func TestRoster_ThrottledNodesReadShortListInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{short: true, down: true}
		all := startRosters(t, 3, listed)
		time.Sleep(turnInterval / 2)
		for address, roster := range all {
			assert.Assert(t, len(roster.Replicas()) == 0, address)
		}
		assert.Equal(t, listed.readCount(), 3)
	})
}

func TestRoster_OtherNodesWaitForSlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{duration: 1200 * time.Millisecond}
		all := startRosters(t, 9, listed)
		time.Sleep(listed.duration + 200*time.Millisecond)
		for address, roster := range all {
			assert.Equal(t, len(roster.Replicas()), 1, address)
		}
		assert.Equal(t, listed.readCount(), 1)
	})
}

func TestRoster_LastLeaseHolderIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{}
		all := startRosters(t, 5, listed)
		assert.DeepEqual(t, all["c-0"].higherPriorityNodes(), []string{lastHolder})
		assert.DeepEqual(t, all["c-2"].higherPriorityNodes(), []string{lastHolder, "c-0", "c-1"})
		assert.DeepEqual(t, all["c-4"].higherPriorityNodes(), []string{lastHolder, "c-0", "c-1", "c-2"})
		assert.Equal(t, len(all[lastHolder].higherPriorityNodes()), 0)
	})
}

func TestRoster_NextNodeReadsListIfEarlierOnesAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{}
		down := []string{"c-0", "c-1", lastHolder}
		all := startRosters(t, 5, listed, down...)
		time.Sleep(4*turnInterval + 100*time.Millisecond)
		for address, roster := range all {
			assert.Equal(t, len(roster.Replicas()) > 0, !slices.Contains(down, address), address)
		}
		assert.Assert(t, listed.readCount() <= 3, "%d reads", listed.readCount())
	})
}

func TestRoster_LimitsReadsOfFailingPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := &platform{down: true}
		startRosters(t, 5, listed)
		const span = 20 * time.Second
		time.Sleep(span)
		most := 5 * (int(span/sharedListInterval(400, 60, 4)) + 1)
		assert.Assert(t, listed.readCount() <= most, "%d reads, at most %d", listed.readCount(), most)
	})
}

func TestRoster_HandleFetchOmitsStaleList(t *testing.T) {
	now := testStart
	roster := New(Config{Clock: func() time.Time { return now }}, &platform{}, noLease{}, discardPublisher{}, nodes{})
	assert.Equal(t, len(roster.HandleFetch(t.Context(), FetchRequest{}).Replicas), 0)
	roster.Adopt([]discovery.Replica{{ID: "i-1"}}, 1, now)
	now = now.Add(staleListAge)
	reply := roster.HandleFetch(t.Context(), FetchRequest{})
	assert.Equal(t, len(reply.Replicas), 1)
	assert.Equal(t, reply.AgeMs, staleListAge.Milliseconds())
	now = now.Add(time.Millisecond)
	assert.Equal(t, len(roster.HandleFetch(t.Context(), FetchRequest{}).Replicas), 0)
}
