package membership

// MayLeave reports whether the daemon may shut down. That is so if it is not a member, or if no change is in progress, no
// newcomer can replace it, and the remaining voting members are a quorum; without the quorum, its shutdown would block all
// writes. If several members leave at the same time, the one with the lowest address goes first.
func MayLeave(view View) bool {
	if !view.Membership.Contains(view.Self) {
		return true
	}
	if view.Membership.IsJoint() || len(view.newcomers()) > 0 {
		return false
	}
	staying := map[string]bool{}
	for _, member := range view.Membership.Current {
		peer := view.Peers[member]
		leavesBefore := peer.Leaving && member < view.Self
		staying[member] = member != view.Self && !view.isSuspect(member) && !peer.Joining && !leavesBefore
	}
	return view.Membership.HasQuorum(staying)
}
