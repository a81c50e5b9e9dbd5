// Package membership decides when the list of members should change: a lost or leaving member
// is replaced by a newcomer, newcomers are added while more losses are to be borne, and a
// newcomer that is lost midway is let go.
//
// It only decides, from one daemon's view; it never carries a change out. Every change goes
// through the members key of the keystore, under its joint majorities, so two daemons that
// decide differently at once cannot harm the state. Start reading with NextChange.
package membership

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

const (
	// SuspectAfter is how long a daemon is not heard before it counts as silent.
	SuspectAfter = 1600 * time.Millisecond
	// newcomerHeardWithin is how recently a newcomer must have been heard to be taken in.
	newcomerHeardWithin = 900 * time.Millisecond
	// proposalDelayPerRank is how long the next daemon in line waits for the one before it to act.
	proposalDelayPerRank = time.Second
)

// Peer is what this daemon knows of another control daemon.
type Peer struct {
	Address string
	Zone    string
	// Silence is the time since the peer was heard last.
	SinceLastHeard time.Duration
	// Joining says that the peer does not vote.
	Joining bool
	// Leaving says that the peer is about to end; it votes until it does.
	Leaving bool
	// Number is that of the member list under which the peer caught up.
	MembershipVersion uint64
	// Silent lists the members that the peer does not hear.
	Suspects []string
}

// View is what one daemon sees of the fleet.
type View struct {
	Current keystore.Membership
	Self    string
	// Wanted is how many members bear the losses that the deployment asks for.
	DesiredMembers int
	// Peers holds this daemon too, with a silence of zero.
	Peers map[string]Peer
}

// Change is a member list to commit, and why.
type Change struct {
	Membership keystore.Membership
	Reason     string
}

func (v View) isSuspect(address string) bool {
	peer, known := v.Peers[address]
	return address != v.Self && (!known || peer.SinceLastHeard >= SuspectAfter)
}

func (v View) isLeaving(address string) bool {
	return v.Peers[address].Leaving && !v.isSuspect(address)
}

// Silent lists the members that this daemon does not hear; it tells them to its peers.
func (v View) Suspects() []string {
	var silent []string
	for _, member := range v.Current.All() {
		if v.isSuspect(member) {
			silent = append(silent, member)
		}
	}
	return silent
}

// lost says that a majority of the present members agree that an address is silent. A link
// that is cut between two members does not make either of them lost.
func (v View) isLost(address string) bool {
	agreeing := 0
	for _, member := range v.Current.Current {
		switch {
		case member == v.Self:
			if v.isSuspect(address) {
				agreeing++
			}
		case !v.isSuspect(member) && slices.Contains(v.Peers[member].Suspects, address):
			agreeing++
		}
	}
	return agreeing > len(v.Current.Current)/2
}

// NextChange says which change of the list is due in this view, if any.
func NextChange(view View) (Change, bool) {
	if view.Current.IsJoint() {
		return view.finishJointChange()
	}
	newcomers := view.newcomers()
	if len(newcomers) == 0 {
		return Change{}, false
	}
	if gone, reason, found := view.memberToReplace(); found {
		rest := remove(view.Current.Current, gone)
		newcomer := view.pickNewcomer(newcomers, rest)
		next := make([]string, 0, len(view.Current.Current))
		for _, member := range view.Current.Current {
			if member == gone {
				member = newcomer
			}
			next = append(next, member)
		}
		return view.startJointChange(next, reason), true
	}
	if len(view.Current.Current) < view.DesiredMembers {
		newcomer := view.pickNewcomer(newcomers, view.Current.Current)
		next := append(slices.Clone(view.Current.Current), newcomer)
		return view.startJointChange(next, "more members are needed for the losses to be borne"), true
	}
	return Change{}, false
}

func (v View) startJointChange(next []string, reason string) Change {
	return Change{keystore.Membership{Version: v.Current.Version + 1, Current: v.Current.Current, Next: next}, reason}
}

// finish ends a change that is under way: for the new list once the newcomer votes under it,
// for the old one if the newcomer is lost.
func (v View) finishJointChange() (Change, bool) {
	number := v.Current.Version + 1
	for _, member := range v.Current.Next {
		if v.Current.IsCurrent(member) {
			continue
		}
		peer := v.Peers[member]
		if !v.isSuspect(member) && !peer.Leaving && !peer.Joining && peer.MembershipVersion == v.Current.Version {
			return Change{keystore.Membership{Version: number, Current: v.Current.Next}, "newcomer has caught up"}, true
		}
		if v.isLeaving(member) || v.isLost(member) {
			return Change{keystore.Membership{Version: number, Current: v.Current.Current}, "newcomer was lost"}, true
		}
	}
	return Change{}, false
}

func (v View) newcomers() []string {
	var newcomers []string
	for address, peer := range v.Peers {
		if !v.Current.Contains(address) && peer.SinceLastHeard < newcomerHeardWithin && !peer.Leaving && address != v.Self {
			newcomers = append(newcomers, address)
		}
	}
	slices.Sort(newcomers)
	return newcomers
}

// replaceable names the member to replace: one that is silent before one that is leaving,
// because the latter still votes; of several, the one not heard for longest.
func (v View) memberToReplace() (address, reason string, found bool) {
	var lost, leaving []string
	for _, member := range v.Current.Current {
		switch {
		case v.isLost(member):
			lost = append(lost, member)
		case v.isLeaving(member):
			leaving = append(leaving, member)
		}
	}
	if len(lost) > 0 {
		longest := slices.MaxFunc(lost, func(left, right string) int {
			return cmp.Or(cmp.Compare(v.sinceLastHeard(left), v.sinceLastHeard(right)), cmp.Compare(right, left))
		})
		return longest, "member " + longest + " is lost", true
	}
	if len(leaving) > 0 {
		return leaving[0], "member " + leaving[0] + " is leaving", true
	}
	return "", "", false
}

const neverHeard = time.Duration(1<<63 - 1)

func (v View) sinceLastHeard(address string) time.Duration {
	if peer, known := v.Peers[address]; known {
		return peer.SinceLastHeard
	}
	return neverHeard
}

// spread picks the newcomer whose zone holds the fewest of the members that stay, so that the
// loss of one zone takes as few members as can be; the lowest address of several.
func (v View) pickNewcomer(newcomers, staying []string) string {
	held := map[string]int{}
	for _, member := range staying {
		held[v.Peers[member].Zone]++
	}
	return slices.MinFunc(newcomers, func(left, right string) int {
		return cmp.Or(cmp.Compare(held[v.Peers[left].Zone], held[v.Peers[right].Zone]), cmp.Compare(left, right))
	})
}

func remove(list []string, dropped string) []string {
	var kept []string
	for _, one := range list {
		if one != dropped {
			kept = append(kept, one)
		}
	}
	return kept
}

// ProposalDelay is how long this daemon leaves a change that is due to those before it: voting
// members that it hears, by address. The first acts at once; each one after it in case those
// before can be heard but cannot commit.
func ProposalDelay(view View) time.Duration {
	before := 0
	for _, member := range view.Current.Current {
		if member < view.Self && !view.isSuspect(member) && !view.Peers[member].Joining {
			before++
		}
	}
	return time.Duration(before) * proposalDelayPerRank
}

// MayLeave says whether the daemon may end while it is a member: those that stay behind and
// vote are a quorum, nobody is there to take its place, and no change is under way. Of members
// that leave at the same time the one with the lowest address goes first.
func MayLeave(view View) bool {
	if !view.Current.Contains(view.Self) {
		return true
	}
	if view.Current.IsJoint() || len(view.newcomers()) > 0 {
		return false
	}
	staying := map[string]bool{}
	for _, member := range view.Current.Current {
		peer := view.Peers[member]
		before := peer.Leaving && member < view.Self
		staying[member] = member != view.Self && !view.isSuspect(member) && !peer.Joining && !before
	}
	return view.Current.HasQuorum(staying)
}
