package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

// report is a data plane's load and when it came.
type report struct {
	at   time.Time
	load peer.LoadReport
}

// memberSums is another control plane's sums and when they came.
type memberSums struct {
	at    time.Time
	share peer.LoadSum
}

// Sums sums the loads that this daemon's data planes report, and holds the sums of the other
// control planes. Any goroutine may use it.
type Sums struct {
	lock    sync.Mutex
	reports map[string]report
	own     *replicaSums
	// suspects counts the data planes that suspect each replica.
	suspects map[string]int
	others   map[string]memberSums
	// arrivals are on their way to the placement holder.
	arrivals *arrivalOutbox
	// waiting marks the models that were waited for when the demand was last told.
	waiting map[string]bool
	// fresh marks the models newly waited for since then.
	fresh map[string]bool
	// nudge wakes the loop that tells the demand.
	nudge chan struct{}
}

// NewSums is empty sums.
func NewSums() *Sums {
	return &Sums{
		reports:  map[string]report{},
		own:      newReplicaSums(),
		suspects: map[string]int{},
		others:   map[string]memberSums{},
		arrivals: newArrivalOutbox(),
		waiting:  map[string]bool{},
		fresh:    map[string]bool{},
		nudge:    make(chan struct{}, 1),
	}
}

const (
	// reportLife is how long a data plane's report counts.
	reportLife = 1500 * time.Millisecond
	// sumsLife is how long another control plane's sums count.
	sumsLife = 1500 * time.Millisecond
)

// Hear takes in a data plane's report in place of its last.
func (s *Sums) Hear(load peer.LoadReport, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.drop(load.Daemon)
	s.reports[load.Daemon] = report{now, load}
	s.count(load, 1)
	for _, model := range load.Models {
		name := place.ModelKey(model.Backend, model.Model)
		if model.Arrivals > 0 || model.ReadMs > 0 {
			s.arrivals.collect(name, model)
		}
		if model.Waiting > 0 && !s.waiting[name] {
			s.waiting[name], s.fresh[name] = true, true
		}
	}
	if len(s.fresh) > 0 {
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
}

// drop takes a data plane's report out of the sums. The caller holds the lock.
func (s *Sums) drop(daemon string) {
	if before, known := s.reports[daemon]; known {
		s.count(before.load, -1)
		delete(s.reports, daemon)
	}
}

// count adds a report or, with a sign of -1, takes it away. The caller holds the lock.
func (s *Sums) count(load peer.LoadReport, sign int) {
	s.own.addReport(load, float64(sign))
	for id, one := range load.Replicas {
		if one.Suspect {
			s.suspects[id] += sign
		}
		if s.suspects[id] <= 0 {
			delete(s.suspects, id)
		}
	}
}

// expire drops what is too old. The caller holds the lock.
func (s *Sums) expire(now time.Time) {
	for daemon, one := range s.reports {
		if now.Sub(one.at) > reportLife {
			s.drop(daemon)
		}
	}
	for member, one := range s.others {
		if now.Sub(one.at) > sumsLife {
			delete(s.others, member)
		}
	}
}

// Leave drops the report of a data plane that reports elsewhere now.
func (s *Sums) Leave(daemon string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.drop(daemon)
}

// HearMember takes in another control plane's sums in place of its last.
func (s *Sums) HearMember(share peer.LoadSum, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.others[share.Member] = memberSums{now, share}
}

// Outlook is what a data plane is told of the load that all others put on the replicas it follows,
// without its own.
func (s *Sums) Outlook(daemon string, replicas map[string]bool) peer.FleetLoad {
	s.lock.Lock()
	defer s.lock.Unlock()
	mine := s.reports[daemon].load
	outlook := peer.FleetLoad{Replicas: make(map[string]peer.ReplicaLoad, len(replicas)), Total: s.own.total}
	for _, other := range s.others {
		outlook.Total = addOutcomes(outlook.Total, other.share.Total, 1)
	}
	for _, one := range mine.Replicas {
		outlook.Total = addOutcomes(outlook.Total, boundedOutcomes(one.Outcomes), -1)
	}
	outlook.Total = peer.Outcomes{Served: tenths(outlook.Total.Served), Failed: tenths(outlook.Total.Failed)}
	for id := range replicas {
		if told := s.sum(id, mine); told != (peer.ReplicaLoad{}) {
			outlook.Replicas[id] = told
		}
	}
	return outlook
}

// sum is the load of all other data planes at a replica. The caller holds the lock.
func (s *Sums) sum(id string, mine peer.LoadReport) peer.ReplicaLoad {
	own := mine.Replicas[id]
	sum := addLoad(s.own.byReplica[id], own, -1)
	near := addOutcomes(s.own.byZone[[2]string{mine.Zone, id}], boundedOutcomes(own.Outcomes), -1)
	for _, other := range s.others {
		one := other.share.Replicas[id]
		sum.Running += one.Running
		sum.Tokens += one.Tokens
		sum.Prefill += one.Prefill
		sum.Outcomes = addOutcomes(sum.Outcomes, one.Outcomes, 1)
		near = addOutcomes(near, other.share.Near[mine.Zone][id], 1)
	}
	return roundedLoad(sum, near)
}

// Share is this daemon's sums for the other control planes.
func (s *Sums) Share(member string, now time.Time) peer.LoadSum {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	share := peer.LoadSum{
		Member:   member,
		Daemons:  len(s.reports),
		Total:    s.own.total,
		Replicas: s.own.rounded(),
	}
	for key, one := range s.own.byZone {
		if failed := tenths(one.Failed); failed > 0 {
			if share.Near == nil {
				share.Near = map[string]peer.ZoneOutcomes{}
			}
			if share.Near[key[0]] == nil {
				share.Near[key[0]] = peer.ZoneOutcomes{}
			}
			share.Near[key[0]][key[1]] = peer.Outcomes{Served: tenths(one.Served), Failed: failed}
		}
	}
	s.addServed(share)
	return share
}

// addServed adds the outcomes at replicas at which others report failures, so that these can be
// weighed. The caller holds the lock.
func (s *Sums) addServed(share peer.LoadSum) {
	for _, other := range s.others {
		for id, one := range other.share.Replicas {
			if own, known := s.own.byReplica[id]; one.Failed > 0 && known {
				told := share.Replicas[id]
				told.Outcomes = peer.Outcomes{Served: tenths(own.Served), Failed: tenths(own.Failed)}
				share.Replicas[id] = told
			}
		}
	}
}
