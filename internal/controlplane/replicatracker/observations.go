package replicatracker

import (
	"sort"
	"sync"
	"time"

	"ferryspar/internal/discovery"
)

// observation is what the tracker knows better than the platform's list of one replica.
type observation struct {
	reportedAt time.Time
	models     []discovery.LoadedModel
	phase      discovery.Phase
	// cordoned are the references that data planes must not use, as cordonKey names them.
	cordoned []string
}

// Observations is what the lease holder knows better than the platform's list: the models reported since, and the references
// that are being unloaded. The tracker writes it; any goroutine may use it.
type Observations struct {
	// listLag is how far the platform's list may lag behind the replicas.
	listLag time.Duration
	lock    sync.Mutex
	byID    map[string]observation
}

// NewObservations returns no observations yet, to be laid over lists that may lag as far as given.
func NewObservations(listLag time.Duration) *Observations {
	return &Observations{listLag: listLag, byID: map[string]observation{}}
}

// Apply returns a list that was made at a moment or after it with the models and phases that were observed later, and the references
// that data planes must not use, in order. The list given is not changed.
func (o *Observations) Apply(replicas []discovery.Replica, asOf time.Time) ([]discovery.Replica, []string) {
	result := make([]discovery.Replica, len(replicas))
	var cordoned []string
	o.lock.Lock()
	defer o.lock.Unlock()
	for index, listed := range replicas {
		result[index] = listed
		observed, isObserved := o.byID[listed.ID]
		if !isObserved {
			continue
		}
		cordoned = append(cordoned, observed.cordoned...)
		if !observed.reportedAt.IsZero() && asOf.Add(-o.listLag).Before(observed.reportedAt) {
			result[index].Models = observed.models
			if listed.Phase != "" && observed.phase != "" {
				result[index].Phase = observed.phase
			}
		}
	}
	sort.Strings(cordoned)
	return result, cordoned
}

// update replaces the observations of replicas that have changed and drops those of replicas that are tracked no more.
func (o *Observations) update(replicas map[string]*Replica) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for id := range o.byID {
		if replicas[id] == nil {
			delete(o.byID, id)
		}
	}
	for id, replica := range replicas {
		if _, published := o.byID[id]; published && !replica.unpublished {
			continue
		}
		replica.unpublished = false
		o.byID[id] = replica.observation()
	}
}

// clear drops all observations and tells whether there were any.
func (o *Observations) clear() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	hadAny := len(o.byID) > 0
	clear(o.byID)
	return hadAny
}
