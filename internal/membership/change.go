package membership

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// proposalDelayPerRank is how long a member waits for the preceding one to commit a change.
const proposalDelayPerRank = time.Second

// noMajorityTimeout is how long the next members may lack a majority of votes before the change is rolled back. A reachable
// newcomer gains its vote within a fraction of that time, and the change is then completed instead.
const noMajorityTimeout = 1500 * time.Millisecond

// Change is a membership to commit, and the reason for it.
type Change struct {
	Membership keystore.Membership
	Reason     string
	// StabilizationDelay is how long the change must have been due before any member proposes it.
	StabilizationDelay time.Duration
}

// NextChange returns the change of the membership that is due in this view, and whether there is one. Members are replaced or
// added one at a time. Each change starts with a joint membership, under which a commit needs a majority of both the old and
// the new members, and is completed once the newcomer has caught up. Without the joint phase, two disjoint majorities could
// commit different values.
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

// finishJointChange returns the change that ends a joint membership. It completes the change once the newcomer votes under the
// joint membership. It rolls the change back if the newcomer is lost or leaving, or if the new members lack a majority of
// votes, since nothing else can be committed in that state.
func (v View) finishJointChange() (Change, bool) {
	for _, member := range v.Membership.Next {
		if v.Membership.IsCurrent(member) {
			continue
		}
		if v.hasCaughtUp(member) {
			return v.completeChange(), true
		}
		if v.isLeaving(member) || v.isLost(member) {
			return v.rollBackChange("newcomer was lost", 0), true
		}
	}
	if !v.nextMembersHaveMajority() {
		return v.rollBackChange("too few of the next members vote", noMajorityTimeout), true
	}
	return Change{}, false
}

// nextMembersHaveMajority reports whether a majority of the next members vote and are not lost.
func (v View) nextMembersHaveMajority() bool {
	voting := map[string]bool{}
	for _, member := range v.Membership.Next {
		voting[member] = !v.isLost(member) && !v.Peers[member].Joining
	}
	return keystore.Membership{Current: v.Membership.Next}.HasQuorum(voting)
}

// hasCaughtUp reports whether a newcomer votes under the current version of the membership. One that caught up under an
// earlier version may lack values that were committed since.
func (v View) hasCaughtUp(newcomer string) bool {
	peer := v.Peers[newcomer]
	votes := !v.isSuspect(newcomer) && !peer.Leaving && !peer.Joining
	return votes && peer.MembershipVersion == v.Membership.Version
}

func (v View) completeChange() Change {
	completed := keystore.Membership{Version: v.Membership.Version + 1, Current: v.Membership.Next}
	return Change{Membership: completed, Reason: "newcomer has caught up"}
}

func (v View) rollBackChange(reason string, stabilizationDelay time.Duration) Change {
	return Change{Membership: v.Membership.RolledBack(), Reason: reason, StabilizationDelay: stabilizationDelay}
}

// memberToReplace returns the member to replace and the reason. Lost members come before leaving ones, which still vote; among
// several lost members, the one that has been silent for longest comes first.
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

// pickNewcomer returns the newcomer whose zone has the fewest of the staying members, so that the loss of a zone affects as few
// members as possible. Ties are broken by the lowest address.
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

// ProposalDelay returns how long this daemon waits before it proposes a change that is due. It depends on the number of voting,
// unsuspected members with a lower address: the first member proposes at once, and each later one only if those before it are
// reachable but fail to commit. Without the delay, all members would propose at the same time and preempt each other.
func ProposalDelay(view View) time.Duration {
	rank := 0
	for _, member := range view.Membership.Current {
		if member < view.Self && !view.isSuspect(member) && !view.Peers[member].Joining {
			rank++
		}
	}
	return time.Duration(rank) * proposalDelayPerRank
}
