package membership

import "ferryspar/internal/keystore"

// FoundersVote says whether every member of the founding list is known to have voted under it.
func FoundersVote(view View) bool {
	for _, founder := range view.Current.Present {
		peer, known := view.Peers[founder]
		if !known || peer.Joining || peer.Number == 0 {
			return false
		}
	}
	return view.Current.Number == keystore.FoundingNumber
}
