package retention

import "slices"

// maxPurges is how many purges a Record keeps.
const maxPurges = 32

// State is how far a data plane or replica has come with a purge.
type State string

// The states of a data plane or replica: it has yet to forget, has forgotten, or is no longer there.
const (
	Pending State = "pending"
	Done    State = "done"
	Gone    State = "gone"
)

// Purge is one order to forget cached context.
type Purge struct {
	Number uint64 `json:"number"`
	Scope  Scope  `json:"scope"`
	// DataPlanes names the data planes that have to forget, sorted.
	DataPlanes []string `json:"edges"`
	// TargetsListed reports that Targets is complete. Until then the purge isn't, whatever the targets say:
	// replicas may have context of which nothing is known yet.
	TargetsListed bool     `json:"counted"`
	Targets       []Target `json:"pairs,omitempty"`
}

// Target is a model at a replica whose context is to be dropped.
type Target struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	State   State  `json:"state"`
}

// HasPendingTargets reports whether targets are still to be listed or to drop their context.
func (p Purge) HasPendingTargets() bool {
	return !p.TargetsListed || slices.ContainsFunc(p.Targets, Target.isPending)
}

// ResolveTargets sets the pending targets of a replica and model (any model if empty) to state, and reports whether
// there were any.
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

// Record is the value that the keystore holds: the newest number and the last purges.
type Record struct {
	Number uint64  `json:"number"`
	Purges []Purge `json:"items"`
}

// Add returns the record with one more purge, and that purge. The oldest ones are dropped if there are too many.
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

// UpdatePurge returns the record with change made to a copy of the numbered purge, and what change returned, which is
// whether it changed anything; or the same record and false if there is no such purge. The receiver isn't changed,
// since others may still read it.
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
