package lease

import "ferryspar/internal/loadbudget"

// Record is the stored value of a lease's key. The JSON names are a storage format: records outlive the process and the
// release that wrote them.
type Record struct {
	// Holder is the name of the control plane that holds the lease; Address is where its peers reach it.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Fence is the fencing token, which increases by one with each grant.
	Fence uint64 `json:"fence"`
	// Reserved is an upper bound of what the holder may have used of a budget that outlives its grant. It is nil in records
	// that were written by releases without reservations; the usage of such a holder is unknown.
	Reserved *loadbudget.Reservation `json:"reserved,omitempty"`
	// TakeoverPending is set when the lease passes to another control plane and cleared when a holder writes the record
	// after its takeover delay. While it is set, the lease of an earlier holder may still be valid, so every new holder,
	// including one that has restarted, must wait.
	TakeoverPending bool `json:"settling,omitempty"`
}

// sameHolder reports whether two records name the same control plane, regardless of restarts in between.
func (r Record) sameHolder(other Record) bool {
	return r.Holder == other.Holder && r.Address == other.Address
}
