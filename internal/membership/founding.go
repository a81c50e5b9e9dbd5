package membership

import "ferryspar/internal/keystore"

// BootstrapMembersVote says whether every member of the founding list is known to have voted under it.
func BootstrapMembersVote(view View) bool {
	for _, founder := range view.Current.Current {
		peer, known := view.Peers[founder]
		if !known || peer.Joining || peer.MembershipVersion == 0 {
			return false
		}
	}
	return view.Current.Version == keystore.BootstrapVersion
}
