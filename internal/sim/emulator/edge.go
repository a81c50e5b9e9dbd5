package emulator

import (
	"slices"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/proxy"
	"ferryspar/internal/routing"
)

// edge is an emulated data plane: the project's matcher and retry budget, and the state received from the
// control plane.
type edge struct {
	world *World
	// number is the index among the edges.
	number int
	// zone is the index of its zone.
	zone int
	// incarnation counts the starts; events scheduled by an earlier incarnation have no effect.
	incarnation int
	alive       bool
	// routable is set while clients are routed to this edge; it lags behind alive by the detection time.
	routable bool
	fleet    atomic.Pointer[routing.Snapshot]
	matcher  *routing.Matcher
	budget   *proxy.RetryBudget
	roster   roster
	// peerLoads is the summed load of the other edges, by replica ID.
	peerLoads   map[string]peer.ReplicaLoad
	peerLoadsAt time.Time
	lastReport  peer.LoadReport
	waiting     []*attempt
	// lastUsed is when each replica last sent a byte, by replica ID.
	lastUsed map[string]time.Time
	// wakeAt is the earliest wake-up scheduled for the matcher.
	wakeAt time.Time
}

// roster is the replica list that the control plane sends to the edges.
type roster struct {
	replicas []discovery.Replica
	fetched  time.Time
	// cordoned holds the "replica reference" pairs of models and adapters that are being unloaded.
	cordoned map[string]bool
	// edges is the number of data planes alive, by which shared budgets are divided.
	edges int
}

const (
	// loadReportInterval is the interval between the load reports of an edge.
	loadReportInterval = 300 * time.Millisecond
	// budgetPeriod is the period of the retry budget.
	budgetPeriod = 10 * time.Second
	// budgetRatio is the ratio of retries to requests that the budget allows.
	budgetRatio = 0.2
	// budgetSlack is the number of retries per period, over all edges, that are allowed at any request rate.
	budgetSlack = 50
)

// start starts a new incarnation with empty state. The load reports of the edges are staggered over the
// interval.
func (e *edge) start() {
	e.incarnation++
	e.alive = true
	e.waiting = nil
	e.lastUsed = map[string]time.Time{}
	e.roster = roster{}
	e.peerLoads = nil
	e.peerLoadsAt = time.Time{}
	e.wakeAt = time.Time{}
	e.fleet = atomic.Pointer[routing.Snapshot]{}
	e.fleet.Store(&routing.Snapshot{})
	e.matcher = routing.NewMatcher(e.world.scenario.Parameters, e.world.scenario.Zones[e.zone].Name, e.world.now, &e.fleet)
	e.budget = proxy.NewRetryBudget(proxy.RetryBudgetOptions{Period: budgetPeriod, Ratio: budgetRatio, Slack: budgetSlack})
	phase := time.Duration(e.number%10) * loadReportInterval / 10
	e.scheduleLoadReport(e.incarnation, phase)
}

// scheduleLoadReport reports the load after the wait and then at every interval, until this incarnation ends.
func (e *edge) scheduleLoadReport(incarnation int, wait time.Duration) {
	e.world.events.After(wait, func() {
		if !e.alive || e.incarnation != incarnation {
			return
		}
		e.reportLoad()
		e.scheduleLoadReport(incarnation, loadReportInterval)
	})
}

// reportLoad sends the matcher's load report to the control plane and adopts the other edges' summed load
// from the response.
func (e *edge) reportLoad() {
	if e.fleet.Load().Table == nil {
		return
	}
	report := e.matcher.CollectLoad()
	incarnation := e.incarnation
	control := e.world.control
	e.lastReport = report
	e.afterLink(control.zone, func() {
		if !control.alive {
			return
		}
		summedLoads := control.receiveLoad(e.number, report)
		e.afterLink(control.zone, func() {
			if e.alive && e.incarnation == incarnation {
				e.peerLoads = summedLoads
				e.peerLoadsAt = e.world.now()
				e.publishFleet()
			}
		})
	})
}

// afterLink calls act after the delay of the link to the given zone.
func (e *edge) afterLink(zone int, act func()) {
	e.world.events.After(e.world.linkDelay(e.zone, zone), act)
}

// receiveRoster adopts a roster from the control plane.
func (e *edge) receiveRoster(next roster) {
	if !e.alive {
		return
	}
	e.roster = next
	e.publishFleet()
}

// publishFleet gives the matcher a snapshot built from the last roster and the other edges' loads.
func (e *edge) publishFleet() {
	if e.roster.fetched.IsZero() {
		return
	}
	fleet := &routing.Snapshot{
		Table:          e.world.table,
		DrainedZones:   map[string]bool{},
		DataPlaneCount: e.roster.edges,
		ListedAt:       e.roster.fetched,
		PeerLoads:      e.peerLoads,
		PeerLoadsAt:    e.peerLoadsAt,
	}
	for index, listed := range e.roster.replicas {
		replica := routing.NewReplica(index, listed, e.roster.fetched, e.roster.cordoned)
		replica.Region = e.world.regionOf(listed.Zone)
		fleet.Replicas = append(fleet.Replicas, replica)
	}
	e.fleet.Store(fleet)
	e.matcher.Wake()
	e.processDecisions()
}

// regionOf returns the region of a zone, or an empty string if the zone is unknown.
func (w *World) regionOf(zone string) string {
	for _, known := range w.scenario.Zones {
		if known.Name == zone {
			return known.Region
		}
	}
	return ""
}

// accept queues an attempt, or rejects it while the edge has no configuration.
func (e *edge) accept(clientAttempt *attempt) {
	e.budget.RecordRequest(e.world.now())
	if e.fleet.Load().Table == nil {
		clientAttempt.reject(200 * time.Millisecond)
		return
	}
	clientAttempt.enqueue()
}

// processDecisions carries out the matcher's decisions until there are none left, reports the load if the
// matcher has requested it, and schedules the next wake-up.
func (e *edge) processDecisions() {
	for progressed := true; progressed; {
		progressed = false
		for _, clientAttempt := range slices.Clone(e.waiting) {
			select {
			case decision := <-clientAttempt.pending.Decided:
				progressed = true
				e.removeWaiting(clientAttempt)
				clientAttempt.onDecision(decision)
			default:
			}
		}
	}
	select {
	case <-e.matcher.LoadReportDue:
		e.reportLoad()
	default:
	}
	e.scheduleWake()
}

// removeWaiting removes an attempt from those that wait for a decision of the matcher.
func (e *edge) removeWaiting(clientAttempt *attempt) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *attempt) bool { return other == clientAttempt })
}

// scheduleWake schedules the matcher's next wake-up, unless an earlier one is scheduled.
func (e *edge) scheduleWake() {
	wait, needed := e.matcher.NextWake()
	now := e.world.now()
	at := now.Add(max(wait, time.Millisecond))
	if !needed || len(e.waiting) == 0 || e.wakeAt.After(now) && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	incarnation := e.incarnation
	e.world.events.At(at, func() {
		if e.alive && e.incarnation == incarnation {
			e.matcher.Wake()
			e.processDecisions()
		}
	})
}

// reportOutcome reports the outcome of the ticket's request to the matcher.
func (e *edge) reportOutcome(ticket *routing.Ticket, outcome routing.Outcome) {
	e.matcher.HandleReport(routing.Report{Ticket: ticket, Outcome: outcome, At: e.world.now()})
}
