package replicatracker

import (
	"sort"
	"sync"
	"time"

	"ferryspar/internal/discovery"
)

// observation is the state of one replica that the tracker knows better than the platform's list.
type observation struct {
	reportedAt time.Time
	models     []discovery.LoadedModel
	phase      discovery.Phase
	// cordoned holds the references that data planes must not use, in the form of cordonKey.
	cordoned []string
}

// Observations holds what the lease holder knows better than the platform's list: the models reported since, and the
// references being unloaded. The tracker updates it; it is safe for concurrent use.
type Observations struct {
	// listLag is the maximum lag of the platform's list behind the replicas.
	listLag time.Duration
	lock    sync.Mutex
	byID    map[string]observation
}

// NewObservations returns an empty set of observations, to be applied to lists with the given maximum lag.
func NewObservations(listLag time.Duration) *Observations {
	return &Observations{listLag: listLag, byID: map[string]observation{}}
}

// Apply returns a copy of a list, made at asOf or later, with the models and phases that were observed later than the list can
// show. It also returns the references that data planes must not use, in order. The given list is not modified.
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

// update replaces the observations of replicas that have changed and removes those of replicas that are no longer tracked.
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

// clear removes all observations and reports whether there were any.
func (o *Observations) clear() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	hadAny := len(o.byID) > 0
	clear(o.byID)
	return hadAny
}
