package membership

import (
	"math"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

const (
	// SuspectAfter is how long nothing may be heard of a daemon before it is suspected to be down.
	SuspectAfter = 1600 * time.Millisecond
	// newcomerHeardWithin is how recently a newcomer must have been heard to be added. It is shorter than
	// SuspectAfter, so that a newcomer isn't suspected as soon as it is added.
	newcomerHeardWithin = 900 * time.Millisecond
	// neverHeard is the time since a daemon was heard that never was.
	neverHeard = time.Duration(math.MaxInt64)
)

// Peer is what this daemon knows of a control daemon.
type Peer struct {
	Address string
	Zone    string
	// SinceLastHeard is the time since the last heartbeat of the peer.
	SinceLastHeard time.Duration
	// Joining reports that the peer does not vote yet.
	Joining bool
	// Leaving reports that the peer is about to shut down; it votes until it does.
	Leaving bool
	// MembershipVersion is that of the membership under which the peer caught up.
	MembershipVersion uint64
	// Suspects lists the members that the peer suspects to be down.
	Suspects []string
}

// View is what one daemon sees of the control daemons.
type View struct {
	// Membership is the newest membership that the daemon knows.
	Membership keystore.Membership
	// Self is the daemon's own address.
	Self string
	// DesiredMembers is how many members survive the losses that the deployment is to survive.
	DesiredMembers int
	// Peers holds the known daemons by address. The daemon itself is one of them, with SinceLastHeard zero.
	Peers map[string]Peer
}

// Suspects lists the members that this daemon suspects to be down; it sends them to its peers.
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

// isLost reports whether a majority of the current members suspect an address. A single suspicion isn't
// enough: with a link cut between two healthy members, each would have the other replaced.
func (v View) isLost(address string) bool {
	agreeing := 0
	for _, member := range v.Membership.Current {
		if v.suspects(member, address) {
			agreeing++
		}
	}
	return agreeing > len(v.Membership.Current)/2
}

// suspects reports whether a member is known to suspect an address. What a suspected member said is out of date.
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

// newcomers lists the daemons that may become members, by address.
func (v View) newcomers() []string {
	var newcomers []string
	for address, peer := range v.Peers {
		isFresh := peer.SinceLastHeard < newcomerHeardWithin && !peer.Leaving
		if isFresh && address != v.Self && !v.Membership.Contains(address) {
			newcomers = append(newcomers, address)
		}
	}
	slices.Sort(newcomers)
	return newcomers
}
