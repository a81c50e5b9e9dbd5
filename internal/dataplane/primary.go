package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"
)

func (s *FleetState) trackLag(now time.Time, newest int64) {
	for _, control := range s.controlPeers {
		if control.fresh && control.revision > newest {
			if s.behindSince.IsZero() {
				s.behindSince = now
			}
			return
		}
	}
	s.behindSince = time.Time{}
}

const behindTolerance = 150 * time.Millisecond

const controlPeerTimeout = 1700 * time.Millisecond

func (s *FleetState) choosePrimary() {
	now := s.clock()
	current := *s.position.primary.Load()
	newest := s.position.revision.Load()
	usable := func(control *controlPeer) bool {
		timeout := controlPeerTimeout
		if control.secondary {
			timeout += maxSecondaryHoldMs * time.Millisecond / 2
		}
		return control.fresh && now.Sub(control.lastSeen) < timeout
	}
	s.trackLag(now, newest)
	best, bestRank := "", -1
	for address, control := range s.controlPeers {
		if !usable(control) {
			continue
		}
		rank := 0
		if control.revision > newest && now.Sub(s.behindSince) > behindTolerance {
			rank += 4
		}
		if control.zone == s.settings.Zone {
			rank += 2
		}
		if address == current {
			rank++
		}
		if rank > bestRank {
			best, bestRank = address, rank
		}
	}
	if best != current {
		s.position.primary.Store(&best)
		for _, address := range []string{current, best} {
			if control := s.controlPeers[address]; control != nil {
				control.complete = false
			}
		}
		if best != "" {
			s.repoll(best)
		}
		logrus.WithFields(logrus.Fields{"from": current, "to": best}).Info("parts are followed at another control daemon")
	}
}

const (
	assumedEdgeCount   = 512
	edgeCountRetention = 10 * time.Second
	edgeCountTimeout   = 5 * time.Second
)

func (s *FleetState) edgeCount() int {
	now, most := s.clock(), 0
	for _, control := range s.controlPeers {
		if now.Sub(control.lastSeen) < edgeCountTimeout {
			most = max(most, control.edgeCount)
		}
	}
	if most >= s.knownEdgeCount || most > 0 && now.Sub(s.knownEdgeCountAt) > edgeCountRetention {
		s.knownEdgeCount, s.knownEdgeCountAt = most, now
	}
	if s.knownEdgeCount == 0 {
		return assumedEdgeCount
	}
	return s.knownEdgeCount
}

// presentEdgeCount is the number of data planes, without those that fell silent so long ago that what they lent of tenants'
// limits has ended. Where no control daemon has run for long enough to be sure of that, it is the one that is kept high,
// and 0 if none was ever told.
func (s *FleetState) presentEdgeCount() (count int, known bool) {
	now, most := s.clock(), 0
	for _, control := range s.controlPeers {
		if now.Sub(control.lastSeen) < edgeCountTimeout {
			most = max(most, control.edgeCount, control.presentEdges)
			known = known || control.presentKnown
		}
	}
	if s.edgeCount(); !known {
		return max(s.knownEdgeCount, most), false
	}
	return most, true
}
