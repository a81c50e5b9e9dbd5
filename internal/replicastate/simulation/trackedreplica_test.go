package simulation

import (
	"maps"
	"net/http"
	"time"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// timings are those that the control plane uses.
var timings = replicatracker.Timings()

// trackedReplica is a node's record of a replica. Its methods are a copy of what the scheduler does with a replica.
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
	fencedAt          time.Time // last outcome Fenced
	highestSequence   int64     // highest reported, used by restartIgnored
}

func (n *node) track(id string, server *server, listed map[string]bool) *trackedReplica {
	replica := &trackedReplica{node: n, id: id, server: server, fence: n.trackedGrant.Record.Fence}
	if !n.trackedGrant.IsFirst() {
		replica.trustFrom = n.trackedGrant.GrantedAt.Add(timings.MaxReportAge)
	}
	replica.reset(listed)
	return replica
}

// reset discards the replica's state and starts tracking it anew under the same grant.
func (t *trackedReplica) reset(listed map[string]bool) {
	t.state = replicastate.New(timings, t.fence, t.trustFrom, listed)
}

func (t *trackedReplica) now() time.Time { return t.node.cluster.now }

// recheckContradicted causes a replica to be polled again if the list has contradicted its known state for StaleReportWindow.
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
	replica.state.PollStarted(n.cluster.now)
	n.cluster.requestReport(n, replica.server, replica.id, func(report *replicastate.Report) {
		if report == nil {
			replica.state.PollFailed(n.cluster.now)
			return
		}
		if replica.applyReport(*report) {
			replica.reportedAt, replica.pendingAction = n.cluster.now, nil
		}
	})
}

// order decides on an order for an action and sends it. An unload is sent after cordonLeadTime.
func (t *trackedReplica) order(action placement.Action) {
	node := t.node
	order, possible := t.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, t.now())
	if !possible {
		return
	}
	t.checkBackoff()
	t.pendingAction = &action
	delay := node.cluster.randomDuration(0, 2*time.Millisecond)
	if !action.Load {
		delay += cordonLeadTime
	}
	node.after(delay, func() { t.send(order) })
	if node.freezeAfterDecision > 0 {
		node.freeze(node.freezeAfterDecision)
		node.freezeAfterDecision = 0
	}
}

// send sends an order if the grant under which it was decided still allows it.
func (t *trackedReplica) send(order replicastate.Order) {
	node := t.node
	grant := node.currentGrant
	allowed := grant.Allows(t.now(), orderLeaseMargin)
	if !allowed || grant.Record.Fence != order.Fence && !node.cluster.mutation.mixesGrants() {
		t.handleResponse(order, replicastate.NotSent)
		return
	}
	sent := sentOrder{
		Order: order, target: t.id, holder: node.name, decidedFence: order.Fence, grantedAt: grant.GrantedAt,
		withoutSequence: node.cluster.mutation == noExpectedSequence,
	}
	sent.Fence = grant.Record.Fence
	if node.cluster.mutation == keptAcrossGrants {
		sent.decidedFence = sent.Fence
	}
	transmit := func() {
		node.cluster.send(node, t.server, sent, func(status int) { t.handleResponse(order, outcomeOf(status)) })
	}
	if node.cluster.faultModel.unboundedDelay {
		node.after(node.cluster.randomDuration(0, time.Millisecond), transmit)
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
		statusUnreachable:             replicastate.Unreachable,
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
