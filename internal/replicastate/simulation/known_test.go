package simulation

import (
	"maps"
	"net/http"
	"time"

	"ferryspar/internal/place"
	"ferryspar/internal/replicastate"
)

var timings = &replicastate.Timings{
	ReportLag:    250 * time.Millisecond,
	BusyPause:    250 * time.Millisecond,
	UnknownPause: 1500 * time.Millisecond,
	RefusedPause: refusedPause,
	Settle:       orderSettle,
	ReportAge:    reportAge,
	Distrust:     reportDistrust,
}

// knownReplica is what a daemon knows of a replica, with the copy of what the scheduler does with it.
type knownReplica struct {
	daemon       *daemon
	id           string
	server       *server
	fence        uint64
	trustFrom    time.Time
	state        *replicastate.Replica
	pending      *place.Action
	intent       string
	reportedAt   time.Time
	contradicted time.Time
	fencedAt     time.Time // last refusal for the fence
	highest      int64     // sequence reported, for a variant
}

func (d *daemon) newKnown(id string, server *server, listed map[string]bool) *knownReplica {
	one := &knownReplica{daemon: d, id: id, server: server, fence: d.grant.Record.Fence}
	if !d.grant.IsFirst() {
		one.trustFrom = d.grant.GrantedAt.Add(reportAge)
	}
	one.forget(listed)
	return one
}

// forget begins to know the replica under its grant.
func (k *knownReplica) forget(listed map[string]bool) {
	k.state = replicastate.New(timings, k.fence, k.trustFrom, listed)
}

func (k *knownReplica) now() time.Time { return k.daemon.world.now }

// recheckContradicted has the replica asked again that the list has long shown with other models.
func (k *knownReplica) recheckContradicted(listed map[string]bool) {
	recent := !k.now().Add(-listLag).After(k.reportedAt)
	if k.state.Phase() != replicastate.Idle || recent || maps.Equal(k.state.Held(), listed) {
		k.contradicted = time.Time{}
		return
	}
	if k.contradicted.IsZero() {
		k.contradicted = k.now()
	}
	if k.now().Sub(k.contradicted) >= reportDistrust {
		k.contradicted = time.Time{}
		k.state.Recheck(k.now())
	}
}

func (d *daemon) poll(one *knownReplica) {
	one.state.AskStarted(d.world.now)
	d.world.ask(d, one.server, one.id, func(report *replicastate.Report) {
		if report == nil {
			one.state.AskFailed(d.world.now)
			return
		}
		if one.takeReport(*report) {
			one.reportedAt, one.pending = d.world.now, nil
		}
	})
}

// order decides on an action and sends it, an unload after a pause.
func (k *knownReplica) order(action place.Action) {
	d := k.daemon
	order, possible := k.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, k.now())
	if !possible {
		return
	}
	k.judgePatience()
	k.pending = &action
	pause := d.world.between(0, 2*time.Millisecond)
	if !action.Load {
		pause += barTime
	}
	d.after(pause, func() { k.send(order) })
	if d.freezeNext > 0 {
		d.freeze(d.freezeNext)
		d.freezeNext = 0
	}
}

// send sends an order if the grant under which it was decided still allows that.
func (k *knownReplica) send(order replicastate.Order) {
	d := k.daemon
	grant := d.hold
	allowed := grant.Allows(k.now(), orderNeeds)
	if !allowed || grant.Record.Fence != order.Fence && !d.world.variant.mixesGrants() {
		k.answered(order, replicastate.NotSent)
		return
	}
	sent := instruction{
		Order: order, target: k.id, holder: d.name, decided: order.Fence, since: grant.GrantedAt,
		unbound: d.world.variant == noExpectedSequence,
	}
	sent.Fence = grant.Record.Fence
	if d.world.variant == keptAcrossGrants {
		sent.decided = sent.Fence
	}
	transmit := func() {
		d.world.send(d, k.server, sent, func(status int) { k.answered(order, outcomeOf(status)) })
	}
	if d.world.bounds.beyond {
		d.after(d.world.between(0, time.Millisecond), transmit)
		return
	}
	transmit()
}

func (k *knownReplica) answered(order replicastate.Order, outcome replicastate.Outcome) {
	k.takeAnswer(order, outcome)
	if k.state.Phase() == replicastate.Changing {
		k.state.ExpectDone(k.now().Add(timings.ReportLag))
		return
	}
	k.pending = nil
}

func outcomeOf(status int) replicastate.Outcome {
	outcomes := map[int]replicastate.Outcome{
		unreached:                     replicastate.Unreached,
		http.StatusAccepted:           replicastate.Accepted,
		http.StatusOK:                 replicastate.AlreadyDone,
		http.StatusConflict:           replicastate.Conflict,
		http.StatusPreconditionFailed: replicastate.Fenced,
		http.StatusBadRequest:         replicastate.Rejected,
		http.StatusMisdirectedRequest: replicastate.Rejected,
	}
	if outcome, known := outcomes[status]; known {
		return outcome
	}
	return replicastate.NoAnswer
}
