package roster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// control is the control plane of one node. The test sets which node holds the lease.
type control struct {
	noLease
	self    string
	cluster *controlCluster
	lock    sync.Mutex
	list    []discovery.Replica
	asOf    time.Time
}

// controlCluster holds all control planes by address.
type controlCluster struct {
	addresses []string
	rosters   map[string]*Roster
	controls  map[string]*control
	// holder is the address of the lease holder, "" for none; lock guards it.
	lock   sync.Mutex
	holder string
}

func (c *controlCluster) setHolder(position int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.holder = c.addresses[position]
}

func (c *controlCluster) leaseHolder() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.holder
}

func (c *control) HoldsLease() bool { return c.cluster.leaseHolder() == c.self }
func (c *control) Fence() (uint64, bool) {
	return uint64(slices.Index(c.cluster.addresses, c.self) + 1), c.HoldsLease()
}

func (c *control) PublishRoster(replicas []discovery.Replica, _ []string, asOf time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.list, c.asOf = replicas, asOf
}

func (c *control) PublishedRoster() ([]discovery.Replica, []string, time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.list, nil, c.asOf
}

func (c *control) LeaseHolder() string         { return c.cluster.leaseHolder() }
func (c *control) OtherControlPlaneCount() int { return len(c.cluster.addresses) - 1 }
func (c *control) OtherControlPlanes() []string {
	return slices.DeleteFunc(slices.Clone(c.cluster.addresses), func(address string) bool { return address == c.self })
}

func (c *control) Call(ctx context.Context, method peer.Method, address string, message, reply any) error {
	time.Sleep(time.Millisecond)
	switch method {
	case peer.MethodFetchRoster:
		*reply.(*FetchReply) = c.cluster.rosters[address].HandleFetch(ctx, message.(FetchRequest))
	case peer.MethodShareRoster:
		*reply.(*UpdateReply) = c.cluster.rosters[address].HandleUpdate(ctx, message.(peer.RosterUpdate))
	default:
		return errors.Errorf("no method %s", method)
	}
	return nil
}

// listsDraining reports whether all nodes list the replica as draining.
func (c *controlCluster) listsDraining(id string) bool {
	for _, node := range c.controls {
		list, _, _ := node.PublishedRoster()
		listed := slices.IndexFunc(list, func(replica discovery.Replica) bool { return replica.ID == id })
		if listed < 0 || list[listed].State != discovery.StateDraining {
			return false
		}
	}
	return true
}

func (c *controlCluster) isListKnown() bool {
	for _, node := range c.controls {
		if list, _, _ := node.PublishedRoster(); len(list) == 0 {
			return false
		}
	}
	return true
}

// oldestList returns the age of the oldest list of any node.
func (c *controlCluster) oldestList() time.Duration {
	oldest := time.Duration(0)
	for _, node := range c.controls {
		_, _, asOf := node.PublishedRoster()
		oldest = max(oldest, time.Since(asOf))
	}
	return oldest
}

// noHolder stands for the position of the lease holder if no node holds the lease.
const noHolder = -1

// startControls starts control planes without a list, of which the one at position holder holds the lease.
func startControls(t *testing.T, count, holder int, listed *limitedPlatform) *controlCluster {
	cluster := &controlCluster{rosters: map[string]*Roster{}, controls: map[string]*control{}}
	for number := range count {
		cluster.addresses = append(cluster.addresses, fmt.Sprintf("c-%d", number))
	}
	if holder != noHolder {
		cluster.setHolder(holder)
	}
	for _, address := range cluster.addresses {
		node := &control{self: address, cluster: cluster}
		client := &discovery.Client{
			Address:    "platform",
			HTTPClient: &http.Client{Transport: listed},
		}
		config := Config{Self: address, Incarnation: address, CallsPerSecond: platformRate, Clock: time.Now}
		cluster.controls[address] = node
		cluster.rosters[address] = New(config, client, node, node, node)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, roster := range cluster.rosters {
		running.Go(func() { roster.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return cluster
}
