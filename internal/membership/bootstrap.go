package membership

import "ferryspar/internal/keystore"

// BootstrapMembersVote reports whether the membership is still that of the bootstrap and every member is known to vote
// under it.
func BootstrapMembersVote(view View) bool {
	if view.Membership.Version != keystore.BootstrapVersion {
		return false
	}
	for _, member := range view.Membership.Current {
		peer, known := view.Peers[member]
		if !known || peer.Joining || peer.MembershipVersion == 0 {
			return false
		}
	}
	return true
}
