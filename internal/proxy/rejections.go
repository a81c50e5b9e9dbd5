package proxy

import (
	"maps"
	"sync"

	"ferryspar/internal/apierror"
)

// RejectionCounts counts answers with an error of the data plane's own, by their reason. The zero value is ready to use, by any
// number of goroutines.
type RejectionCounts struct {
	// lock guards countByReason.
	lock          sync.Mutex
	countByReason map[string]uint64
}

func (r *RejectionCounts) add(kind apierror.Kind) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.countByReason == nil {
		r.countByReason = map[string]uint64{}
	}
	r.countByReason[kind.Reason()]++
}

// Snapshot returns a copy of the counts, which is empty rather than nil without any.
func (r *RejectionCounts) Snapshot() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	counts := make(map[string]uint64, len(r.countByReason))
	maps.Copy(counts, r.countByReason)
	return counts
}
