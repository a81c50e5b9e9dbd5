package membership

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// proposalDelayPerRank is how long a member waits for the one before it to commit a change.
const proposalDelayPerRank = time.Second

// takeBackPatience is how long the next members may be without a majority before the change is taken back: a newcomer that
// is heard gains its vote within a fraction of it, and the change is completed instead.
const takeBackPatience = 1500 * time.Millisecond

// Change is a membership to commit, and why.
type Change struct {
	Membership keystore.Membership
	Reason     string
	// StabilizationDelay is how long the change must have been due before anybody proposes it.
	StabilizationDelay time.Duration
}

// NextChange returns the change of the membership that is due in this view, and whether there is one. Members
// are exchanged or added one at a time: each change is first joint, so that both the old and the new members
// must have a majority, and completed once the newcomer has caught up. Without the joint phase two disjoint
// majorities could commit different values.
func NextChange(view View) (Change, bool) {
	if view.Membership.IsJoint() {
		return view.finishJointChange()
	}
	newcomers := view.newcomers()
	if len(newcomers) == 0 {
		return Change{}, false
	}
	if replaced, reason, found := view.memberToReplace(); found {
		return view.startReplacement(replaced, newcomers, reason), true
	}
	if len(view.Membership.Current) < view.DesiredMembers {
		return view.startAddition(newcomers), true
	}
	return Change{}, false
}

func (v View) startReplacement(replaced string, newcomers []string, reason string) Change {
	next := slices.Clone(v.Membership.Current)
	position := slices.Index(next, replaced)
	staying := slices.Delete(slices.Clone(next), position, position+1)
	next[position] = v.pickNewcomer(newcomers, staying)
	return v.startJointChange(next, reason)
}

func (v View) startAddition(newcomers []string) Change {
	next := append(slices.Clone(v.Membership.Current), v.pickNewcomer(newcomers, v.Membership.Current))
	return v.startJointChange(next, "more members are needed for the losses to be borne")
}

func (v View) startJointChange(next []string, reason string) Change {
	joint := keystore.Membership{
		Version: v.Membership.Version + 1,
		Current: v.Membership.Current,
		Next:    next,
	}
	return Change{Membership: joint, Reason: reason}
}

// finishJointChange ends a change that is under way: with the new members once the newcomer votes under the joint
// membership, with the old ones if the newcomer is lost, or if those of the new members that vote are no majority. In that
// case nothing else can be committed until the change is taken back.
func (v View) finishJointChange() (Change, bool) {
	for _, member := range v.Membership.Next {
		if v.Membership.IsCurrent(member) {
			continue
		}
		if v.hasCaughtUp(member) {
			return v.completeChange(), true
		}
		if v.isLeaving(member) || v.isLost(member) {
			return v.takeBackChange("newcomer was lost", 0), true
		}
	}
	if !v.nextMembersHaveMajority() {
		return v.takeBackChange("too few of the next members vote", takeBackPatience), true
	}
	return Change{}, false
}

// nextMembersHaveMajority reports whether those of the next members that vote and are not lost are a majority of them.
func (v View) nextMembersHaveMajority() bool {
	voting := map[string]bool{}
	for _, member := range v.Membership.Next {
		voting[member] = !v.isLost(member) && !v.Peers[member].Joining
	}
	return keystore.Membership{Current: v.Membership.Next}.HasQuorum(voting)
}

// hasCaughtUp reports whether a newcomer votes under this very membership. If it had only caught up under an earlier
// one, it may lack values that were committed since.
func (v View) hasCaughtUp(newcomer string) bool {
	peer := v.Peers[newcomer]
	votes := !v.isSuspect(newcomer) && !peer.Leaving && !peer.Joining
	return votes && peer.MembershipVersion == v.Membership.Version
}

func (v View) completeChange() Change {
	completed := keystore.Membership{Version: v.Membership.Version + 1, Current: v.Membership.Next}
	return Change{Membership: completed, Reason: "newcomer has caught up"}
}

func (v View) takeBackChange(reason string, patience time.Duration) Change {
	return Change{Membership: v.Membership.RolledBack(), Reason: reason, StabilizationDelay: patience}
}

// memberToReplace returns the member to replace, and why: a lost one before one that is leaving, because the latter
// still votes; of several lost ones, the one not heard for longest.
func (v View) memberToReplace() (address, reason string, found bool) {
	var lost, leaving []string
	for _, member := range v.Membership.Current {
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

// pickNewcomer returns the newcomer whose zone has the fewest of the staying members, so that the loss of one
// zone takes as few members as possible; of several, the one with the lowest address.
func (v View) pickNewcomer(newcomers, staying []string) string {
	membersInZone := map[string]int{}
	for _, member := range staying {
		membersInZone[v.Peers[member].Zone]++
	}
	return slices.MinFunc(newcomers, func(left, right string) int {
		return cmp.Or(
			cmp.Compare(membersInZone[v.Peers[left].Zone], membersInZone[v.Peers[right].Zone]),
			cmp.Compare(left, right),
		)
	})
}

// ProposalDelay is how long this daemon leaves a change that is due to those before it: the voting members that
// it hears, by address. The first acts at once; each later one only in case those before it can be heard but
// cannot commit. Without the delay all would propose at the same time and preempt each other.
func ProposalDelay(view View) time.Duration {
	rank := 0
	for _, member := range view.Membership.Current {
		if member < view.Self && !view.isSuspect(member) && !view.Peers[member].Joining {
			rank++
		}
	}
	return time.Duration(rank) * proposalDelayPerRank
}
