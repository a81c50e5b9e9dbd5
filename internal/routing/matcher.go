package routing

import (
	"context"
	"sync/atomic"
	"time"

	"ferryspar/internal/peer"
)

// Matcher is the routing policy of one data plane. The goroutine of Run owns all fields except the inbox
// and the atomic ones. The exported fields must be set before Run starts.
type Matcher struct {
	parameters Parameters
	zone       string // this data plane's own
	clock      func() time.Time

	// latest is the newest snapshot, stored by the node; snapshot is the one in use, and index belongs
	// to its replicas.
	latest   *atomic.Pointer[Snapshot]
	snapshot *Snapshot
	index    *Index

	inbox          inbox
	queue          waitQueue
	replicas       replicaTable
	health         *health
	ledger         *PrefixLedger
	prefillFactors modelPrefillFactors
	models         stepModels
	demand         demandCounters
	answers        answerPaces
	missing        missingModels
	backlog        backlog
	graph          assignmentGraph
	// rejections are the replicas' rejections that are not reviewed yet, oldest first.
	rejections []rejection

	draining atomic.Bool

	// LoadReportDue signals that the load should be reported at once: a failure was counted, or a
	// request's model is loaded nowhere. It buffers one signal.
	LoadReportDue chan struct{}
	// OnSuspect, if set, is called from Run with the id of a replica that is suspected.
	OnSuspect func(replica string)
	// OnDemand, if set, is called from Run with the model of every request that arrives or waits.
	OnDemand func(backend, model string)
	// LedgerTrusted, if set, reports whether the ledger may be used now (docs/design/retention.md).
	LedgerTrusted func(now time.Time) bool
}

// NewMatcher returns a matcher for a data plane in a zone. The snapshot in latest may be replaced at any
// time, but a stored snapshot must not be modified.
func NewMatcher(parameters Parameters, zone string, clock func() time.Time, latest *atomic.Pointer[Snapshot]) *Matcher {
	return &Matcher{
		parameters:     parameters,
		zone:           zone,
		clock:          clock,
		latest:         latest,
		snapshot:       &Snapshot{},
		index:          NewIndex(nil),
		inbox:          newInbox(),
		replicas:       newReplicaTable(parameters.NodeName),
		health:         newHealth(),
		ledger:         NewPrefixLedger(parameters.LedgerLimit, parameters.LedgerTTL),
		prefillFactors: modelPrefillFactors{},
		models:         stepModels{},
		demand:         newDemandCounters(),
		answers:        answerPaces{},
		missing:        missingModels{},
		LoadReportDue:  make(chan struct{}, 1),
	}
}

const (
	// retryInterval is how often all waiting requests are retried when no event triggers a retry.
	retryInterval = 25 * time.Millisecond
	// idleWake is the timer's period while nothing waits.
	idleWake = time.Hour
)

// Run is the matcher's event loop; it returns when the context ends. It must be called once at most.
func (m *Matcher) Run(ctx context.Context) {
	defer close(m.inbox.stopped)
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		m.useLatestSnapshot()
		timer.Reset(m.queue.nextWake(m.clock))
		select {
		case <-ctx.Done():
			return
		case request := <-m.inbox.requests:
			m.enqueue(request)
		case request := <-m.inbox.cancellations:
			m.cancel(request)
		case report := <-m.inbox.reports:
			m.handleReport(report)
		case notice := <-m.inbox.prefilled:
			m.handlePrefilled(notice)
		case reply := <-m.inbox.loadRequests:
			reply <- m.collectLoad()
		case change := <-m.inbox.ledgerChanges:
			change(m.ledger)
		case reply := <-m.inbox.forkRequests:
			reply <- m.fork(m.clock(), m.ledger.fork())
		case <-m.inbox.snapshotStored:
			m.useLatestSnapshot()
			m.decideWaiting()
		case <-timer.C:
			m.decideWaiting()
		}
	}
}

// useLatestSnapshot switches to the newest snapshot. The states of replicas outlive a snapshot; those of
// replicas that are no longer listed are dropped after unlistedTTL.
func (m *Matcher) useLatestSnapshot() {
	latest := m.latest.Load()
	if latest == m.snapshot {
		return
	}
	m.snapshot = latest
	index := latest.Index
	if index == nil && m.index.isFor(latest.Replicas) {
		index = m.index
	}
	if index == nil {
		index = NewIndex(latest.Replicas)
	}
	if index == m.index {
		return
	}
	m.index = index
	m.replicas.resetPositions(len(index.replicas))
	m.graph.resize(len(index.replicas))
	m.dropUnlisted()
}

// dropUnlisted drops the state of replicas that are no longer listed. With an empty list nothing is
// dropped: it is more likely a discovery failure than the loss of all replicas.
func (m *Matcher) dropUnlisted() {
	if len(m.index.replicas) == 0 {
		return
	}
	if removed := m.replicas.dropUnlisted(m.index, m.clock()); len(removed) > 0 {
		m.ledger.DropReplicas(removed)
	}
	m.health.forgetUnlisted(m.snapshot.Replicas, func(id string) bool {
		return m.index.contains(id) || m.replicas.states[id] != nil
	})
}

// missingModelTTL is how long a model that nothing needs any more is remembered as loaded nowhere. No load takes longer.
const missingModelTTL = time.Minute

// collectLoad returns the load report since the last one: the demand by model, and the running requests,
// suspicion and recent outcomes of each replica.
func (m *Matcher) collectLoad() peer.LoadReport {
	now := m.clock()
	m.ledger.Expire(now)
	m.missing.forgetUnneeded(now.Add(-missingModelTTL))
	m.review(now)
	if m.OnDemand != nil {
		for _, request := range m.queue.requests {
			m.OnDemand(request.Backend, BaseModel(request.Model))
		}
	}
	report := peer.LoadReport{
		Zone:     m.zone,
		Models:   m.collectDemand(now),
		Replicas: m.replicas.collect(m.index, m.health, now),
	}
	if m.replicas.unlisted > 0 {
		m.dropUnlisted()
	}
	return report
}
