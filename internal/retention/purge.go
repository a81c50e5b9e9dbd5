package retention

import "slices"

// maxPurges is the number of purges that a Record keeps.
const maxPurges = 32

// State is the progress of a data plane or replica with a purge.
type State string

// The states: the context has yet to be dropped, was dropped, or the data plane or replica no longer exists.
const (
	Pending State = "pending"
	Done    State = "done"
	Gone    State = "gone"
)

// Purge is an order to drop cached context.
type Purge struct {
	Number uint64 `json:"number"`
	Scope  Scope  `json:"scope"`
	// DataPlanes are the names of the data planes that must drop the context, sorted.
	DataPlanes []string `json:"edges"`
	// TargetsListed reports that Targets is complete. Until then the purge is incomplete whatever the state of its targets,
	// because replicas may hold context that has not been reported yet.
	TargetsListed bool     `json:"counted"`
	Targets       []Target `json:"pairs,omitempty"`
}

// Target is a model at a replica whose context must be dropped.
type Target struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	State   State  `json:"state"`
}

// HasPendingTargets reports whether the targets are not listed yet or some have not dropped their context.
func (p Purge) HasPendingTargets() bool {
	return !p.TargetsListed || slices.ContainsFunc(p.Targets, Target.isPending)
}

// ResolveTargets sets the pending targets of a replica and model (any model if empty) to state, and reports whether there were
// any.
func (p *Purge) ResolveTargets(replica, model string, state State) bool {
	changed := false
	for index := range p.Targets {
		target := &p.Targets[index]
		if target.Replica == replica && (model == "" || target.Model == model) && target.isPending() {
			target.State = state
			changed = true
		}
	}
	return changed
}

func (t Target) isPending() bool { return t.State == Pending }

// Record is the value stored in the keystore: the number of the newest purge, and the last purges.
type Record struct {
	Number uint64  `json:"number"`
	Purges []Purge `json:"items"`
}

// Add returns the record with a new purge, and that purge. If there are more than maxPurges, the oldest ones are dropped.
func (r Record) Add(scope Scope, dataPlanes []string) (Record, Purge) {
	purge := Purge{
		Number:     r.Number + 1,
		Scope:      scope,
		DataPlanes: append([]string{}, dataPlanes...), // not nil, which would be null in JSON
	}
	slices.Sort(purge.DataPlanes)
	purges := append(slices.Clone(r.Purges), purge)
	if excess := len(purges) - maxPurges; excess > 0 {
		purges = purges[excess:]
	}
	return Record{Number: purge.Number, Purges: purges}, purge
}

// UpdatePurge applies change to a copy of the numbered purge, and returns the record with that copy and the result of change,
// which reports whether it changed anything. If there is no such purge it returns the record itself and false. The receiver is
// not modified, because others may still be reading it.
func (r Record) UpdatePurge(number uint64, change func(purge *Purge) bool) (Record, bool) {
	index := slices.IndexFunc(r.Purges, func(purge Purge) bool { return purge.Number == number })
	if index < 0 {
		return r, false
	}
	next := Record{Number: r.Number, Purges: slices.Clone(r.Purges)}
	updated := &next.Purges[index]
	updated.Targets = slices.Clone(updated.Targets)
	changed := change(updated)
	return next, changed
}
