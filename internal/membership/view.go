package membership

import (
	"math"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

const (
	// SuspectAfter is the time without a heartbeat after which a daemon is suspected to be down.
	SuspectAfter = 1600 * time.Millisecond
	// maxNewcomerSilence is the time since the last heartbeat within which a newcomer may be added. It is shorter than
	// SuspectAfter, so that a newcomer is not suspected as soon as it is added.
	maxNewcomerSilence = 900 * time.Millisecond
	// neverHeard is the SinceLastHeard of a daemon without any heartbeat.
	neverHeard = time.Duration(math.MaxInt64)
)

// Peer is what this daemon knows about a control daemon.
type Peer struct {
	Address string
	Zone    string
	// SinceLastHeard is the time since the last heartbeat of the peer.
	SinceLastHeard time.Duration
	// Joining is set while the peer does not vote yet.
	Joining bool
	// Leaving is set when the peer is about to shut down; it votes until then.
	Leaving bool
	// MembershipVersion is the version of the membership under which the peer caught up, 0 if it never voted.
	MembershipVersion uint64
	// Suspects lists the members that the peer suspects to be down.
	Suspects []string
}

// View is one daemon's view of the control daemons.
type View struct {
	// Membership is the newest membership that the daemon knows.
	Membership keystore.Membership
	// Self is the daemon's own address.
	Self string
	// DesiredMembers is the number of members that the deployment needs for its fault tolerance.
	DesiredMembers int
	// Peers holds the known daemons by address, including the daemon itself with a SinceLastHeard of zero.
	Peers map[string]Peer
}

// Suspects returns the members that this daemon suspects to be down. It is sent to the peers.
func (v View) Suspects() []string {
	var suspects []string
	for _, member := range v.Membership.All() {
		if v.isSuspect(member) {
			suspects = append(suspects, member)
		}
	}
	return suspects
}

func (v View) isSuspect(address string) bool {
	return address != v.Self && v.sinceLastHeard(address) >= SuspectAfter
}

func (v View) isLeaving(address string) bool {
	return v.Peers[address].Leaving && !v.isSuspect(address)
}

// isLost reports whether a majority of the current members suspect an address. A single suspicion is not enough: if the link
// between two healthy members failed, each would have the other one replaced.
func (v View) isLost(address string) bool {
	agreeing := 0
	for _, member := range v.Membership.Current {
		if v.suspects(member, address) {
			agreeing++
		}
	}
	return agreeing > len(v.Membership.Current)/2
}

// suspects reports whether a member is known to suspect an address. Suspicions of members that are suspected themselves are
// ignored as outdated.
func (v View) suspects(member, address string) bool {
	if member == v.Self {
		return v.isSuspect(address)
	}
	return !v.isSuspect(member) && slices.Contains(v.Peers[member].Suspects, address)
}

func (v View) sinceLastHeard(address string) time.Duration {
	if peer, known := v.Peers[address]; known {
		return peer.SinceLastHeard
	}
	return neverHeard
}

// newcomers returns the daemons that may become members, sorted by address.
func (v View) newcomers() []string {
	var newcomers []string
	for address, peer := range v.Peers {
		isAvailable := peer.SinceLastHeard < maxNewcomerSilence && !peer.Leaving
		if isAvailable && address != v.Self && !v.Membership.Contains(address) {
			newcomers = append(newcomers, address)
		}
	}
	slices.Sort(newcomers)
	return newcomers
}
