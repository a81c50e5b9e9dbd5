package proxy

import (
	"maps"
	"sync"

	"ferryspar/internal/apierror"
)

// RejectionCounts counts the errors that the data plane answered itself, by reason. The zero value is ready to use. It is safe
// for concurrent use.
type RejectionCounts struct {
	// lock guards countByReason.
	lock          sync.Mutex
	countByReason map[string]uint64
}

// add counts an error of the kind.
func (r *RejectionCounts) add(kind apierror.Kind) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.countByReason == nil {
		r.countByReason = map[string]uint64{}
	}
	r.countByReason[kind.Reason()]++
}

// Snapshot returns a copy of the counts. The map is never nil.
func (r *RejectionCounts) Snapshot() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	counts := make(map[string]uint64, len(r.countByReason))
	maps.Copy(counts, r.countByReason)
	return counts
}
