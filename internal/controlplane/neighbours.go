package controlplane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

// earlyDataPlaneCountDelay is how long a control daemon that has just started does not say how many data planes it heard of: all that
// run poll it within that time.
const earlyDataPlaneCountDelay = time.Second

// neighbourList lists the data planes in touch that come into question as homes of tenants' limits. The caller holds
// the lock of what is watched.
func (n *Node) neighbourList() *peer.Neighbours {
	var names []string
	for _, name := range n.dataPlanes.Live(n.clock(), 2*inContactWindow) {
		if n.dataPlaneAddresses[name] != "" {
			names = append(names, name)
		}
	}
	for name := range n.dataPlaneAddresses {
		if n.dataPlanes.FirstSeen(name).IsZero() {
			delete(n.dataPlaneAddresses, name)
		}
	}
	listed := &peer.Neighbours{}
	digest := xxhash.New()
	for _, name := range quota.DefaultParameters(quota.Bounds{}).Candidates(names) {
		address := n.dataPlaneAddresses[name]
		listed.List = append(listed.List, peer.Neighbour{Name: name, Address: address})
		_, _ = digest.WriteString(name + "\x00" + address + "\x00")
	}
	listed.Version = digest.Sum64()
	return listed
}
