package scheduler

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/phasebalance"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

const (
	// cordonLeadTime is how long before its unload a model is cordoned, so that data planes can stop using it.
	cordonLeadTime = 220 * time.Millisecond
	// diskLoadTimeShare is the expected duration of a load from the replica's own disk as a fraction of the model's load time.
	diskLoadTimeShare = 0.2
	// loadTimeMargin is added to the expected duration of a load.
	loadTimeMargin = 100 * time.Millisecond
	// statusNotSent is used as the status of an order that was not sent because the lease no longer allowed it.
	statusNotSent = 0
)

// orderSender turns the planner's actions into orders, sends them and handles the responses. It is used only by the planning
// loop; send runs on separate goroutines.
type orderSender struct {
	clock         func() time.Time
	lease         *LeaseElector
	client        ReplicaClient
	tracker       *replicatracker.Tracker
	demand        *DemandView
	budget        *loadBudget
	configuration *currentConfiguration
	pacer         *planPacer
	background    *background
}

// start decides a planner's action for its replica and sends the order. An unload of a model in demand is sent only after the
// data planes had time to stop using it. A request that still arrives for a model not in demand is answered with proof that it
// was not executed.
func (s *orderSender) start(ctx context.Context, action placement.Action, now time.Time) {
	order, possible := s.tracker.Decide(action, now)
	if !possible {
		return
	}
	s.budget.recordOrdered(action, now)
	tracked := s.tracker.Replica(action.Server)
	delay := time.Duration(0)
	if !action.Load && s.demand.isInDemand(tracked.Backend(), action.Model) {
		delay = cordonLeadTime
	}
	s.sendAfter(ctx, tracked, order, delay)
}

// startPhase orders a replica to change its serving phase, after the data planes had time to stop using it.
func (s *orderSender) startPhase(ctx context.Context, change phasebalance.Change, now time.Time) {
	order, possible := s.tracker.DecidePhase(change.Replica, change.Phase, now)
	if !possible {
		return
	}
	s.sendAfter(ctx, s.tracker.Replica(change.Replica), order, cordonLeadTime)
}

// sendAfter sends an order after a delay and handles its response.
func (s *orderSender) sendAfter(
	ctx context.Context, tracked *replicatracker.Replica, order replicastate.Order, delay time.Duration,
) {
	id, address := tracked.ID(), tracked.Address()
	s.background.run(func() func() {
		nodesettings.Sleep(ctx, delay)
		status, err := s.send(ctx, address, id, order)
		return func() { s.handleResponse(tracked, order, status, err) }
	})
}

// send sends an order under the grant that it was decided under, and returns the status of the response, or statusNotSent if
// the grant no longer allows it. It runs outside the planning loop.
func (s *orderSender) send(ctx context.Context, address, id string, order replicastate.Order) (int, error) {
	grant := s.lease.Grant()
	if !grant.Allows(s.clock(), orderLeaseMargin) || grant.Record.Fence != order.Fence {
		return statusNotSent, nil
	}
	model, adapter := placement.SplitReference(order.Reference)
	return s.client.SendOrder(ctx, address, id, replica.Order{
		Operation:        operationOf(order),
		Model:            model,
		Adapter:          adapter,
		Phase:            discovery.Phase(order.ServingPhase),
		LeaseHolder:      grant.Record.Holder,
		Fence:            grant.Record.Fence,
		ExpectedSequence: order.ExpectedSequence,
	})
}

// operationOf returns the operation name of an order.
func operationOf(order replicastate.Order) string {
	switch {
	case order.ServingPhase != "":
		return replica.OperationPhase
	case order.Load:
		return replica.OperationLoad
	}
	return replica.OperationUnload
}

// outcomeByStatus maps a response status to the outcome of the order; any other status leaves the outcome unknown.
var outcomeByStatus = map[int]replicastate.Outcome{
	statusNotSent:                 replicastate.NotSent,
	http.StatusAccepted:           replicastate.Accepted,
	http.StatusOK:                 replicastate.AlreadyDone,
	http.StatusConflict:           replicastate.Conflict,
	http.StatusPreconditionFailed: replicastate.Fenced,
	http.StatusBadRequest:         replicastate.Rejected,
	http.StatusMisdirectedRequest: replicastate.Rejected,
}

// outcomeOf returns the outcome of an order from the end of its call. After an error the outcome is unknown, unless the error
// is that nothing was sent.
func outcomeOf(status int, err error) replicastate.Outcome {
	if errors.Is(err, replica.ErrNotSent) {
		return replicastate.Unreachable
	}
	outcome, known := outcomeByStatus[status]
	if err != nil || !known {
		return replicastate.NoResponse
	}
	return outcome
}

// handleResponse processes the end of an order's call.
func (s *orderSender) handleResponse(tracked *replicatracker.Replica, order replicastate.Order, status int, err error) {
	s.pacer.markDirty()
	now := s.clock()
	logOrder(tracked, order, status, err)
	outcome := outcomeOf(status, err)
	if outcome == replicastate.Fenced {
		s.lease.ReportFenced(order.Fence)
	}
	s.recordLoadOutcome(tracked, order, outcome, now)
	s.tracker.HandleResponse(tracked, order, outcome, now)
	if tracked.State().Phase() == replicastate.Changing {
		tracked.State().ExpectCompletion(now.Add(s.expectedDuration(tracked)))
	}
}

// recordLoadOutcome counts a load from the store as started when it is accepted, and stops counting it if the replica rejected
// it or nothing was sent. Without a clear answer it keeps counting as one that may start. Any accepted order makes the replica reject
// every earlier one. Responses to orders of an earlier grant are ignored: the budget already counts their loads.
func (s *orderSender) recordLoadOutcome(
	tracked *replicatracker.Replica, order replicastate.Order, outcome replicastate.Outcome, now time.Time,
) {
	if !s.tracker.IsTracked(tracked) {
		return
	}
	if outcome == replicastate.Accepted {
		s.budget.recordStarted(tracked.ID(), now)
		return
	}
	action := tracked.Action()
	if action == nil || !loadsFromStore(*action) {
		return
	}
	switch outcome {
	case replicastate.NoResponse:
		s.budget.recordUnanswered(tracked.ID(), order.ExpectedSequence, now)
	default:
		s.budget.recordRejected(tracked.ID())
	}
}

// expectedDuration returns how long the order that a replica has accepted should take.
func (s *orderSender) expectedDuration(tracked *replicatracker.Replica) time.Duration {
	if change, pending := tracked.State().PendingChange(); pending && change.ServingPhase != "" {
		return max(s.configuration.swapTime(tracked.Backend()), replicatracker.ReportLag)
	}
	action := tracked.Action()
	if action == nil || !action.Load {
		return replicatracker.ReportLag
	}
	name, adapter := placement.SplitReference(action.Model)
	model, known := s.configuration.findModel(tracked.Backend(), name)
	if !known || adapter != "" {
		return replicatracker.ReportLag
	}
	expected := nodesettings.Seconds(model.LoadTimeS)
	if tracked.ExpectsDiskLoad() {
		expected = time.Duration(float64(expected) * diskLoadTimeShare)
	}
	return max(expected+loadTimeMargin, replicatracker.ReportLag)
}

// logOrder logs an order and the result of its call.
func logOrder(tracked *replicatracker.Replica, order replicastate.Order, status int, err error) {
	reason := ""
	if action := tracked.Action(); action != nil {
		reason = action.Reason
	}
	logrus.WithFields(logrus.Fields{
		"replica":       tracked.ID(),
		"load":          order.Load,
		"model":         order.Reference,
		"phase":         order.ServingPhase,
		"reason":        reason,
		"status":        status,
		"fence":         order.Fence,
		"expected":      order.ExpectedSequence,
		logrus.ErrorKey: err,
	}).Info("placement order sent")
}
