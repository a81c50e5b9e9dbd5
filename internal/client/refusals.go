package client

import (
	"sync"

	"ferryspar/internal/apierror"
)

// Refusals counts answers with an error of the data plane's own, by their reason. The zero value is ready to use, by
// any number of goroutines.
type Refusals struct {
	lock     sync.Mutex
	byReason map[string]uint64
}

func (r *Refusals) count(kind apierror.Kind) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.byReason == nil {
		r.byReason = map[string]uint64{}
	}
	r.byReason[kind.Reason()]++
}

// Counts returns a copy of the counts.
func (r *Refusals) Counts() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	counts := make(map[string]uint64, len(r.byReason))
	for reason, amount := range r.byReason {
		counts[reason] = amount
	}
	return counts
}
