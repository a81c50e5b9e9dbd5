package controlplane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

// presentTime is how long a control daemon that has just started does not say how many data planes it heard of: all that
// run poll it within that time.
const presentTime = time.Second

// listNeighbours lists the data planes in touch that come into question as homes of tenants' limits. The caller holds
// the lock of what is watched.
func (d *Daemon) listNeighbours() *peer.Neighbours {
	var names []string
	for _, name := range d.edges.Live(d.clock(), 2*inTouch) {
		if d.neighbours[name] != "" {
			names = append(names, name)
		}
	}
	for name := range d.neighbours {
		if d.edges.FirstSeen(name).IsZero() {
			delete(d.neighbours, name)
		}
	}
	listed := &peer.Neighbours{}
	digest := xxhash.New()
	for _, name := range quota.DefaultParameters(quota.Bounds{}).Candidates(names) {
		address := d.neighbours[name]
		listed.List = append(listed.List, peer.Neighbour{Name: name, Address: address})
		_, _ = digest.WriteString(name + "\x00" + address + "\x00")
	}
	listed.Version = digest.Sum64()
	return listed
}
