package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

const (
	// maxConcurrentPolls limits the polls in progress. Replicas with a pending change are polled even beyond it.
	maxConcurrentPolls = 48
	// storeLoadTimeShare is the fraction of a model's load time after which a load that is still running cannot come from the
	// replica's own disk. It is well above diskLoadTimeShare.
	storeLoadTimeShare = 0.5
)

// reportPoller polls replicas for reports. It is used only by the planning loop; the calls run on separate goroutines.
type reportPoller struct {
	clock         func() time.Time
	client        ReplicaClient
	tracker       *replicatracker.Tracker
	disks         *replicatracker.DiskInventory
	demand        *DemandView
	budget        *loadBudget
	configuration *currentConfiguration
	pacer         *planPacer
	publisher     *observationPublisher
	background    *background
}

// pollDue polls the replicas that are due for a poll.
func (p *reportPoller) pollDue(ctx context.Context, table *configuration.Table, now time.Time) {
	for _, tracked := range p.due(table, now) {
		p.poll(ctx, tracked)
	}
}

// due returns the replicas to poll now: first those with a pending change, then those of unknown state, ordered by the number
// of requests waiting for models that may be on their disks.
func (p *reportPoller) due(table *configuration.Table, now time.Time) []*replicatracker.Replica {
	var pending, unknown []*replicatracker.Replica
	polling := 0
	for _, tracked := range p.tracker.Listed() {
		switch {
		case !isPlacementTarget(table, tracked.Backend()):
		case tracked.State().IsPolling():
			polling++
		case !tracked.State().PollDue(now):
		case tracked.State().IsKnown():
			pending = append(pending, tracked)
		default:
			unknown = append(unknown, tracked)
		}
	}
	free := max(maxConcurrentPolls-polling-len(pending), 0)
	if len(unknown) > free {
		p.sortByWaiting(unknown)
		unknown = unknown[:free]
	}
	return append(pending, unknown...)
}

// sortByWaiting sorts replicas by the number of requests waiting for models that may be on their disks, highest first.
func (p *reportPoller) sortByWaiting(replicas []*replicatracker.Replica) {
	waiting := make(map[string]int, len(replicas))
	for _, tracked := range replicas {
		waiting[tracked.ID()] = p.demand.waiting(tracked.Backend(), p.disks.Possible(tracked.Listed()))
	}
	slices.SortStableFunc(replicas, func(left, right *replicatracker.Replica) int {
		return waiting[right.ID()] - waiting[left.ID()]
	})
}

// poll requests a report from a replica.
func (p *reportPoller) poll(ctx context.Context, tracked *replicatracker.Replica) {
	id, address, polledAt := tracked.ID(), tracked.Address(), p.clock()
	tracked.State().PollStarted(polledAt)
	p.background.run(func() func() {
		report, err := p.client.FetchReport(ctx, address, id)
		return func() { p.handlePoll(tracked, report, polledAt, err) }
	})
}

// handlePoll processes the result of a poll that was started at polledAt.
func (p *reportPoller) handlePoll(tracked *replicatracker.Replica, report replica.Report, polledAt time.Time, err error) {
	p.pacer.markDirty()
	now := p.clock()
	if err != nil {
		tracked.State().PollFailed(now)
		return
	}
	reported := replicastate.Report{
		Sequence:     report.Sequence,
		Busy:         report.Busy,
		Loaded:       replicatracker.References(report.Models),
		ServingPhase: string(report.Phase),
	}
	doneAt := p.verifyDiskLoad(tracked, reported, polledAt)
	action, decidedAt, startedAt := tracked.Action(), tracked.DecidedAt(), tracked.StartedAt()
	if !p.tracker.HandleReport(tracked, reported, now) {
		tracked.State().ExpectCompletion(doneAt)
		return
	}
	if action != nil && reported.Loaded[action.Model] {
		p.creditDiskLoad(tracked, *action, now.Sub(decidedAt), startedAt)
	}
	if p.publisher.intervalOver(now) {
		p.publisher.publish()
	}
}

// verifyDiskLoad detects a load that was expected to come from the replica's own disk but comes from the store: it is still
// running when a load from disk would be long done. It returns when a load from the store should be done, or the zero time if
// nothing new was found. If the load was not counted before it started, it is counted from its start, and the models assumed
// to be on the disk are forgotten, so that further loads are counted before they start.
func (p *reportPoller) verifyDiskLoad(
	tracked *replicatracker.Replica, report replicastate.Report, polledAt time.Time,
) (doneAt time.Time) {
	elapsed, running := tracked.RunningDiskLoad(report, polledAt)
	if !running {
		return time.Time{}
	}
	name := tracked.Action().Model
	model, known := p.configuration.findModel(tracked.Backend(), name)
	if !known || elapsed.Seconds() < storeLoadTimeShare*model.LoadTimeS {
		return time.Time{}
	}
	wasCounted := p.tracker.ReclassifyDiskLoad(tracked)
	if !wasCounted {
		p.budget.addStarted(tracked.StartedAt())
	}
	logrus.WithFields(logrus.Fields{
		"replica":     tracked.ID(),
		"model":       name,
		"duration_ms": elapsed.Milliseconds(),
		"counted":     wasCounted,
	}).Info("model load comes from the store, not from the replica's disk")
	return tracked.StartedAt().Add(nodesettings.Seconds(model.LoadTimeS) + loadTimeMargin)
}

// creditDiskLoad returns a load to the budget if it finished so soon after it was decided that it cannot have come from the
// store. A load whose acceptance was not confirmed keeps counting, since the time at which it was counted is unknown.
func (p *reportPoller) creditDiskLoad(
	tracked *replicatracker.Replica, action placement.Action, elapsed time.Duration, countedAt time.Time,
) {
	if !loadsFromStore(action) || !action.MaybeFromDisk {
		return
	}
	model, known := p.configuration.findModel(tracked.Backend(), action.Model)
	if known && elapsed.Seconds() < storeLoadTimeShare*model.LoadTimeS {
		p.budget.recordFromDisk(countedAt)
	}
}
