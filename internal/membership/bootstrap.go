package membership

import "ferryspar/internal/keystore"

// BootstrapMembersVote reports whether the membership is the one of the bootstrap and every member of it is known
// to have voted under it.
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
