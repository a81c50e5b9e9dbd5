package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

const (
	// controlPeerTimeout is how long after its last response a node is no longer used.
	controlPeerTimeout = 1700 * time.Millisecond
	// behindTolerance is how long another node may know a newer configuration before that makes it the better primary.
	behindTolerance = 150 * time.Millisecond
	// assumedDataPlaneCount is how many data planes there are taken to be while nobody knows: shares of the fleet's limits
	// must not be taken too large.
	assumedDataPlaneCount = 512
	// countRetention is how long a number of data planes is kept after lower ones have been reported.
	countRetention = 10 * time.Second
	// countTimeout is how long after its last response a node's number of data planes counts.
	countTimeout = 5 * time.Second
)

// The ranks of a node as the primary, from the one that weighs most. They add up.
const (
	rankNewerConfiguration = 4
	rankSameZone           = 2
	rankCurrent            = 1
)

// controlPeer is a control-plane node as known here: its last response and what is followed there.
type controlPeer struct {
	// fresh says that the last response was confirmed by a majority.
	fresh    bool
	lastSeen time.Time
	zone     string
	revision int64
	// secondary says that the last poll was one of those that are held for longer.
	secondary bool
	// dataPlaneCount is how many data planes the node knows to be live, earlyDataPlaneCount how many it has heard from, which
	// it knows sooner after a start. countReliable says that no live one can be missing.
	dataPlaneCount      int
	earlyDataPlaneCount int
	countReliable       bool

	// incarnation is that which endpointSets are from; they are all that is followed only if complete.
	incarnation  string
	endpointSets map[peer.EndpointKey]peer.EndpointSet
	complete     bool
	// fetchedAt is when the list of replicas that the endpoints were made from was read from the platform, by the clock here.
	fetchedAt            time.Time
	subscriptionSequence uint64
}

// update stores what a response says of the node and of the data planes that it knows.
func (p *controlPeer) update(result *watchResult) {
	p.fresh = result.fresh()
	p.lastSeen = result.receivedAt
	p.revision = result.response.Revision
	p.dataPlaneCount = result.response.DataPlaneCount
	p.secondary = result.secondary
	p.zone = result.response.Zone
	p.earlyDataPlaneCount = result.response.EarlyDataPlaneCount
	p.countReliable = result.response.CountReliable
}

// usable reports whether endpoints may be followed at the node.
func (p *controlPeer) usable(now time.Time) bool {
	timeout := controlPeerTimeout
	if p.secondary {
		timeout += maxSecondaryHold / 2
	}
	return p.fresh && now.Sub(p.lastSeen) < timeout
}

// controlPeers are the control-plane nodes by address. They belong to the goroutine of FleetState.Run.
type controlPeers struct {
	// zone is that of this data plane.
	zone      string
	byAddress map[string]*controlPeer
	// behindSince is since when a node knows a newer configuration than the one in use, or zero.
	behindSince time.Time
	// lastCount is the number of data planes in use, and lastCountAt when it was last reported.
	lastCount   int
	lastCountAt time.Time
}

// at returns the node at the address, a new one if it is not known yet.
func (c *controlPeers) at(address string) *controlPeer {
	control := c.byAddress[address]
	if control == nil {
		control = &controlPeer{}
		c.byAddress[address] = control
	}
	return control
}

// trackLag keeps since when the revision in use is behind that of any node.
func (c *controlPeers) trackLag(revision int64, now time.Time) {
	for _, control := range c.byAddress {
		if control.fresh && control.revision > revision {
			if c.behindSince.IsZero() {
				c.behindSince = now
			}
			return
		}
	}
	c.behindSince = time.Time{}
}

// best is the address of the node that ranks highest as the primary, or empty if none is usable.
func (c *controlPeers) best(current string, revision int64, now time.Time) string {
	best, bestRank := "", -1
	for address, control := range c.byAddress {
		if !control.usable(now) {
			continue
		}
		rank := 0
		if control.revision > revision && now.Sub(c.behindSince) > behindTolerance {
			rank += rankNewerConfiguration
		}
		if control.zone == c.zone {
			rank += rankSameZone
		}
		if address == current {
			rank += rankCurrent
		}
		if rank > bestRank {
			best, bestRank = address, rank
		}
	}
	return best
}

// dataPlaneCount is the number of data planes that share the fleet's limits.
func (c *controlPeers) dataPlaneCount(now time.Time) int {
	c.refreshCount(now)
	if c.lastCount == 0 {
		return assumedDataPlaneCount
	}
	return c.lastCount
}

// refreshCount takes the highest number that a node has reported lately. A lower one than the last counts only after
// countRetention, since a node that has just started has not heard from all data planes yet.
func (c *controlPeers) refreshCount(now time.Time) {
	highest := 0
	for _, control := range c.byAddress {
		if now.Sub(control.lastSeen) < countTimeout {
			highest = max(highest, control.dataPlaneCount)
		}
	}
	if highest >= c.lastCount || highest > 0 && now.Sub(c.lastCountAt) > countRetention {
		c.lastCount, c.lastCountAt = highest, now
	}
}

// reliableDataPlaneCount is the number of data planes, without those that have been silent for so long that what they lent
// of tenants' limits has expired. Where no control-plane node has run for long enough to know that, it is the number that
// is kept high, and 0 if none was ever reported.
func (c *controlPeers) reliableDataPlaneCount(now time.Time) (count int, reliable bool) {
	highest := 0
	for _, control := range c.byAddress {
		if now.Sub(control.lastSeen) < countTimeout {
			highest = max(highest, control.dataPlaneCount, control.earlyDataPlaneCount)
			reliable = reliable || control.countReliable
		}
	}
	c.refreshCount(now)
	if !reliable {
		return max(c.lastCount, highest), false
	}
	return highest, true
}

// choosePrimary moves to another control-plane node where that is better, and has everything followed anew there.
func (s *FleetState) choosePrimary() {
	now, current := s.clock(), s.Primary()
	revision := s.position.revision.Load()
	s.controlPeers.trackLag(revision, now)
	best := s.controlPeers.best(current, revision, now)
	if best == current {
		return
	}
	s.position.primary.Store(&best)
	for _, address := range []string{current, best} {
		if control := s.controlPeers.byAddress[address]; control != nil {
			control.complete = false
		}
	}
	if best != "" && s.repoll != nil {
		s.repoll(best)
	}
	logrus.WithFields(logrus.Fields{"from": current, "to": best}).Info("primary control plane node changed")
}
