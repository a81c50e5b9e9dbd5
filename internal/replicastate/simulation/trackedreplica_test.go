package simulation

import (
	"maps"
	"net/http"
	"time"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// timings are those of the control plane.
var timings = replicatracker.Timings()

// trackedReplica is what a node knows of a replica, with a copy of what the scheduler does with it.
type trackedReplica struct {
	node              *node
	id                string
	server            *server
	fence             uint64
	trustFrom         time.Time
	state             *replicastate.Replica
	pendingAction     *placement.Action
	intent            string
	reportedAt        time.Time
	contradictedSince time.Time
	fencedAt          time.Time // last rejection for the fence
	highestSequence   int64     // reported, for a mutation
}

func (n *node) track(id string, server *server, listed map[string]bool) *trackedReplica {
	replica := &trackedReplica{node: n, id: id, server: server, fence: n.trackedGrant.Record.Fence}
	if !n.trackedGrant.IsFirst() {
		replica.trustFrom = n.trackedGrant.GrantedAt.Add(timings.MaxReportAge)
	}
	replica.reset(listed)
	return replica
}

// reset begins to track the replica under its grant.
func (t *trackedReplica) reset(listed map[string]bool) {
	t.state = replicastate.New(timings, t.fence, t.trustFrom, listed)
}

func (t *trackedReplica) now() time.Time { return t.node.world.now }

// recheckContradicted has a replica polled again that the list has long shown with other models.
func (t *trackedReplica) recheckContradicted(listed map[string]bool) {
	recent := !t.now().Add(-listLag).After(t.reportedAt)
	if t.state.Phase() != replicastate.Idle || recent || maps.Equal(t.state.Loaded(), listed) {
		t.contradictedSince = time.Time{}
		return
	}
	if t.contradictedSince.IsZero() {
		t.contradictedSince = t.now()
	}
	if t.now().Sub(t.contradictedSince) >= timings.StaleReportWindow {
		t.contradictedSince = time.Time{}
		t.state.Recheck(t.now())
	}
}

func (n *node) poll(replica *trackedReplica) {
	replica.state.PollStarted(n.world.now)
	n.world.requestReport(n, replica.server, replica.id, func(report *replicastate.Report) {
		if report == nil {
			replica.state.PollFailed(n.world.now)
			return
		}
		if replica.applyReport(*report) {
			replica.reportedAt, replica.pendingAction = n.world.now, nil
		}
	})
}

// order decides on an action and sends it, an unload after cordonLeadTime.
func (t *trackedReplica) order(action placement.Action) {
	node := t.node
	order, possible := t.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, t.now())
	if !possible {
		return
	}
	t.checkBackoff()
	t.pendingAction = &action
	delay := node.world.between(0, 2*time.Millisecond)
	if !action.Load {
		delay += cordonLeadTime
	}
	node.after(delay, func() { t.send(order) })
	if node.freezeAfterDecision > 0 {
		node.freeze(node.freezeAfterDecision)
		node.freezeAfterDecision = 0
	}
}

// send sends an order if the grant under which it was decided still allows that.
func (t *trackedReplica) send(order replicastate.Order) {
	node := t.node
	grant := node.currentGrant
	allowed := grant.Allows(t.now(), orderLeaseMargin)
	if !allowed || grant.Record.Fence != order.Fence && !node.world.mutation.mixesGrants() {
		t.handleResponse(order, replicastate.NotSent)
		return
	}
	sent := sentOrder{
		Order: order, target: t.id, holder: node.name, decidedFence: order.Fence, grantedAt: grant.GrantedAt,
		withoutSequence: node.world.mutation == noExpectedSequence,
	}
	sent.Fence = grant.Record.Fence
	if node.world.mutation == keptAcrossGrants {
		sent.decidedFence = sent.Fence
	}
	transmit := func() {
		node.world.send(node, t.server, sent, func(status int) { t.handleResponse(order, outcomeOf(status)) })
	}
	if node.world.allowances.unboundedDelay {
		node.after(node.world.between(0, time.Millisecond), transmit)
		return
	}
	transmit()
}

func (t *trackedReplica) handleResponse(order replicastate.Order, outcome replicastate.Outcome) {
	t.applyResponse(order, outcome)
	if t.state.Phase() == replicastate.Changing {
		t.state.ExpectCompletion(t.now().Add(timings.ReportLag))
		return
	}
	t.pendingAction = nil
}

func outcomeOf(status int) replicastate.Outcome {
	outcomes := map[int]replicastate.Outcome{
		statusUnreached:               replicastate.Unreachable,
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
	return replicastate.NoResponse
}
