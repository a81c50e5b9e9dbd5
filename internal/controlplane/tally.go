package controlplane

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

const (
	// suspectsNeeded is how many data planes must suspect a replica, unless all of them do.
	suspectsNeeded = 2
	// suspectsLife is how long a control plane's suspicions count.
	suspectsLife = time.Second
	// demandLife is how long a control plane's demand counts.
	demandLife = 1500 * time.Millisecond
)

// memberReport is a control plane's last share of the demand; suspecting and counted tell whether
// it is part of the sums.
type memberReport struct {
	at         time.Time
	names      []string
	models     []peer.ModelLoad
	suspects   map[string]int
	daemons    int
	suspecting bool
	counted    bool
}

// demandSum is a model's demand over all control planes; oldest is the longest wait by control
// plane, in milliseconds.
type demandSum struct {
	waiting int
	running int
	aim     float64
	oldest  map[string]float64
}

// Tally sums the demand and the suspicions that the control planes share, at the placement holder.
// It is not safe for concurrent use; the scheduler's lock guards it.
type Tally struct {
	reports map[string]*memberReport
	sums    map[string]*demandSum
	// touched marks the sums that changed since they were last written.
	touched  map[string]bool
	waiting  map[string]bool
	suspects map[string]int
	// suspecting counts the data planes behind the suspicions that count now.
	suspecting int
	// stirred is set by what may call for a new plan.
	stirred bool
	// batches are those heard, by member.
	batches map[string]*heardBatches
}

// NewTally is an empty tally.
func NewTally() *Tally {
	return &Tally{
		reports:  map[string]*memberReport{},
		sums:     map[string]*demandSum{},
		touched:  map[string]bool{},
		waiting:  map[string]bool{},
		suspects: map[string]int{},
		batches:  map[string]*heardBatches{},
	}
}

// isNew notes the batch of arrivals in a share and tells whether it was not heard before.
func (t *Tally) isNew(share peer.LoadSum) bool {
	if share.Batch == 0 {
		return true
	}
	held := t.batches[share.Member]
	if held == nil || held.life != share.Life {
		held = &heardBatches{life: share.Life, numbers: map[uint64]bool{}}
		t.batches[share.Member] = held
	}
	return held.isNew(share.Batch)
}

// Hear takes in a share, whose models' keys are given, and reports whether a model is newly waited
// for. A partial share replaces only the models that it names.
func (t *Tally) Hear(share peer.LoadSum, names []string, now time.Time) (fresh bool) {
	next := &memberReport{
		at:         now,
		names:      names,
		models:     share.Models,
		suspects:   share.Suspects,
		daemons:    share.Daemons,
		suspecting: true,
		counted:    true,
	}
	before := t.reports[share.Member]
	if share.Partial && before != nil && before.counted {
		next = before.merged(next)
		names, share.Models = next.names, next.models
	}
	for index, name := range names {
		fresh = fresh || share.Models[index].Waiting > 0 && !t.waiting[name]
	}
	t.stirred = t.stirred || fresh || before == nil || !before.suspecting || !maps.Equal(before.suspects, next.suspects)
	if before != nil {
		t.withdrawSuspects(before)
		t.withdrawDemand(share.Member, before)
	}
	t.reports[share.Member] = next
	t.suspecting += next.daemons
	for id, amount := range next.suspects {
		t.suspects[id] += amount
	}
	for index, name := range names {
		t.addDemand(share.Member, name, share.Models[index])
	}
	return fresh
}

// merged is this report with the models of the next, partial one in place.
func (r *memberReport) merged(next *memberReport) *memberReport {
	merged := &memberReport{
		at:         next.at,
		names:      next.names,
		models:     next.models,
		suspects:   r.suspects,
		daemons:    next.daemons,
		suspecting: true,
		counted:    true,
	}
	replaced := make(map[string]bool, len(next.names))
	for _, name := range next.names {
		replaced[name] = true
	}
	for index, name := range r.names {
		if !replaced[name] {
			merged.names = append(merged.names, name)
			merged.models = append(merged.models, r.models[index])
		}
	}
	return merged
}

// addDemand adds a model's demand.
func (t *Tally) addDemand(member, name string, model peer.ModelLoad) {
	one := t.sums[name]
	if one == nil {
		one = &demandSum{oldest: map[string]float64{}}
		t.sums[name] = one
	}
	one.waiting += model.Waiting
	one.running += model.Running
	one.aim = max(one.aim, model.Aim)
	if model.Waiting > 0 {
		one.oldest[member] = max(one.oldest[member], model.OldestMs)
		t.waiting[name] = true
	}
	t.touched[name] = true
}

// withdrawDemand takes a report's demand away, if it counts.
func (t *Tally) withdrawDemand(member string, before *memberReport) {
	if !before.counted {
		return
	}
	before.counted = false
	for index, name := range before.names {
		one := t.sums[name]
		if one == nil {
			continue
		}
		one.waiting -= before.models[index].Waiting
		one.running -= before.models[index].Running
		delete(one.oldest, member)
		if one.waiting == 0 {
			delete(t.waiting, name)
		}
		t.touched[name] = true
	}
}

// withdrawSuspects takes a report's suspicions away, if they count.
func (t *Tally) withdrawSuspects(before *memberReport) {
	if !before.suspecting {
		return
	}
	before.suspecting = false
	t.suspecting -= before.daemons
	for id, amount := range before.suspects {
		if t.suspects[id] -= amount; t.suspects[id] <= 0 {
			delete(t.suspects, id)
		}
	}
}

// Expire takes away what is too old, suspicions before demand.
func (t *Tally) Expire(now time.Time) {
	for member, one := range t.reports {
		age := now.Sub(one.at)
		if age <= suspectsLife {
			continue
		}
		t.stirred = t.stirred || one.suspecting && len(one.suspects) > 0
		t.withdrawSuspects(one)
		if age > demandLife {
			t.withdrawDemand(member, one)
			delete(t.reports, member)
		}
	}
}

// Suspected tells whether enough data planes suspect the replica: two, or all that are heard.
func (t *Tally) Suspected(id string) bool {
	suspected := t.suspects[id]
	return suspected >= suspectsNeeded || suspected > 0 && suspected == t.suspecting
}

// WriteTo writes the sums that changed into the demand.
func (t *Tally) WriteTo(demands map[string]*place.Demand, now time.Time) {
	for name := range t.touched {
		one := t.sums[name]
		demand := demands[name]
		if demand == nil {
			demand = &place.Demand{}
			demands[name] = demand
		}
		demand.Waiting = one.waiting
		demand.Running = float64(one.running)
		demand.OldestWaitMs = 0
		demand.LatencyTargetMs = max(demand.LatencyTargetMs, one.aim)
		for _, oldest := range one.oldest {
			demand.OldestWaitMs = max(demand.OldestWaitMs, oldest)
		}
		if one.waiting == 0 && one.running == 0 {
			delete(t.sums, name)
		}
	}
	clear(t.touched)
	for name := range t.waiting {
		demands[name].LastSeen = now
	}
}

// Stirred tells whether something may call for a new plan since it was last asked.
func (t *Tally) Stirred() bool {
	stirred := t.stirred
	t.stirred = false
	return stirred
}
