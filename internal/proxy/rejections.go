package proxy

import (
	"maps"
	"sync"

	"ferryspar/internal/apierror"
)

// Rejections counts answers with an error of the data plane's own, by their reason. The zero value is ready to use, by any
// number of goroutines.
type Rejections struct {
	// lock guards countByReason.
	lock          sync.Mutex
	countByReason map[string]uint64
}

func (r *Rejections) add(kind apierror.Kind) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.countByReason == nil {
		r.countByReason = map[string]uint64{}
	}
	r.countByReason[kind.Reason()]++
}

// Counts returns a copy of the counts, which is empty rather than nil without any.
func (r *Rejections) Counts() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	counts := make(map[string]uint64, len(r.countByReason))
	maps.Copy(counts, r.countByReason)
	return counts
}
