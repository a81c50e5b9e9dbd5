package membership

// MayLeave reports whether the daemon may shut down: it is not a member; or no change is under way, nobody is there
// to take its place, and those that stay behind and vote are a quorum. Without that quorum its exit would stop all
// writes. Of members that leave at the same time the one with the lowest address goes first.
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
