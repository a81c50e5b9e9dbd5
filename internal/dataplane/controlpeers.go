package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

const (
	// controlPeerTimeout is how long after its last response a node is considered unusable.
	controlPeerTimeout = 1700 * time.Millisecond
	// behindTolerance is how long another node may have a newer configuration before it is preferred as the primary.
	behindTolerance = 150 * time.Millisecond
	// assumedDataPlaneCount is the assumed number of data planes while none is known. It is high, so that this data plane's share
	// of the fleet-wide limits is not too large.
	assumedDataPlaneCount = 512
	// countRetention is how long a number of data planes stays in use after only lower numbers have been reported.
	countRetention = 10 * time.Second
	// countTimeout is how long after its last response a node's number of data planes is used.
	countTimeout = 5 * time.Second
)

// Weights of the criteria for the choice of the primary, highest first. A node's rank is the sum of those that it meets.
const (
	rankNewerConfiguration = 4
	rankSameZone           = 2
	rankCurrent            = 1
)

// controlPeer is this data plane's view of a control-plane node: its last response and the endpoints received from it.
type controlPeer struct {
	// fresh is set if a majority confirmed the state in the last response.
	fresh    bool
	lastSeen time.Time
	zone     string
	revision int64
	// secondary is set if the last poll was sent to the node as a secondary. Such polls are held longer.
	secondary bool
	// dataPlaneCount is the number of live data planes known to the node. earlyDataPlaneCount is the number that it has heard
	// from, which is available sooner after its start. countReliable is set if dataPlaneCount includes every live data plane.
	dataPlaneCount      int
	earlyDataPlaneCount int
	countReliable       bool

	// incarnation is the node's incarnation that sent endpointSets. complete is set if they include everything subscribed to.
	incarnation  string
	endpointSets map[peer.EndpointKey]peer.EndpointSet
	complete     bool
	// fetchedAt is when the list of replicas behind the endpoints was read from the platform, by this node's clock.
	fetchedAt            time.Time
	subscriptionSequence uint64
}

// update stores the state of the node and its counts of data planes from a response.
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

// usable reports whether the node may be the primary.
func (p *controlPeer) usable(now time.Time) bool {
	timeout := controlPeerTimeout
	if p.secondary {
		timeout += maxSecondaryHold / 2
	}
	return p.fresh && now.Sub(p.lastSeen) < timeout
}

// controlPeers holds the control-plane nodes by address. Only the goroutine of FleetState.Run uses it.
type controlPeers struct {
	// zone is the zone of this data plane.
	zone      string
	byAddress map[string]*controlPeer
	// behindSince is when a node first reported a configuration newer than the one in use; zero if none is newer.
	behindSince time.Time
	// lastCount is the accepted number of data planes, or 0 if none is known. lastCountAt is when it was last reported.
	lastCount   int
	lastCountAt time.Time
}

// getOrCreate returns the node at the address, adding it if it is unknown.
func (c *controlPeers) getOrCreate(address string) *controlPeer {
	control := c.byAddress[address]
	if control == nil {
		control = &controlPeer{}
		c.byAddress[address] = control
	}
	return control
}

// trackLag updates behindSince for the revision in use.
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

// best returns the address of the node with the highest rank as the primary, or "" if none is usable.
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

// dataPlaneCount returns the number of data planes that share the fleet-wide limits.
func (c *controlPeers) dataPlaneCount(now time.Time) int {
	c.refreshCount(now)
	if c.lastCount == 0 {
		return assumedDataPlaneCount
	}
	return c.lastCount
}

// refreshCount sets lastCount to the highest number reported within countTimeout. A number lower than the last is used only after
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

// reliableDataPlaneCount returns the number of data planes, without those that have been silent for so long that the shares of
// tenants' limits that they lent have expired. If no control-plane node has run long enough to know that number, it returns the
// larger of lastCount and the highest reported number, or 0 if none was ever reported.
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

// choosePrimary switches to a better primary if there is one, and resubscribes to all endpoints there.
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
