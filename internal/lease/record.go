package lease

import "ferryspar/internal/loadbudget"

// Record is the value that the keystore holds for a lease. The JSON names are a storage format: records
// outlive the process and the release that wrote them.
type Record struct {
	// Holder is the name of the control plane that holds the lease, Address where its peers reach it.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Fence is the fencing token: it rises by one with each grant.
	Fence uint64 `json:"fence"`
	// Reserved is an upper bound of what the holder may have used of a budget that outlives its
	// grant. It is nil in records of releases that knew no reservations; what such a holder used is
	// unknown.
	Reserved *loadbudget.Reservation `json:"reserved,omitempty"`
	// TakeoverPending is set from the moment the lease passes to another control plane until a holder has
	// written the record after its takeover delay. While it is set, the lease of an earlier holder may
	// still be running, so that every holder, one that restarted included, has to wait.
	TakeoverPending bool `json:"settling,omitempty"`
}

// sameHolder reports whether two records name the same control plane, whether or not it restarted in between.
func (r Record) sameHolder(other Record) bool {
	return r.Holder == other.Holder && r.Address == other.Address
}
