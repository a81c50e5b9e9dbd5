package controlplane

import (
	"sort"
	"time"

	"ferryspar/internal/discovery"
)

// withObserved is the list with the models that the scheduler knows of from later reports, and what it
// bars.
func (s *Scheduler) withObserved(replicas []discovery.Replica, at time.Time) ([]discovery.Replica, []string) {
	lag := s.listLag()
	result := make([]discovery.Replica, len(replicas))
	var cordoned []string
	s.lock.Lock()
	defer s.lock.Unlock()
	for index, listed := range replicas {
		result[index] = listed
		observed, isObserved := s.observed[listed.ID]
		if !isObserved {
			continue
		}
		cordoned = append(cordoned, observed.cordoned...)
		if !observed.reportedAt.IsZero() && at.Add(-lag).Before(observed.reportedAt) {
			result[index].Models = observed.models
		}
	}
	sort.Strings(cordoned)
	return result, cordoned
}
