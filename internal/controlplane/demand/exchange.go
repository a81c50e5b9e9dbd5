package demand

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/usage"
)

const (
	// summaryInterval is how often load summaries are sent to the other control planes.
	summaryInterval = 250 * time.Millisecond
	// summariesPerDemand is how many turns of load summaries there are to one of demand. A load summary that says nothing new is
	// sent at these turns only, which keeps it known at its receivers (summaryTTL) though one of them be lost.
	summariesPerDemand = 2
	// unansweredDelay is how long a control plane that has not answered the last summary gets no other load summary: one that has
	// no time left is asked for more by what it does not keep up with. A call that the network has lost holds up no more than that.
	unansweredDelay = 600 * time.Millisecond
	// minDemandInterval is the shortest time between two partial demand summaries.
	minDemandInterval = 20 * time.Millisecond
)

// Host is what an Exchange needs to know of the fleet from the control plane that it belongs to.
type Host interface {
	// OtherControlPlanes returns the addresses of all other control planes that are known.
	OtherControlPlanes() []string
	// LeaseHolder returns the address of the placement lease's holder, or "" if none is known.
	LeaseHolder() string
	// Roster returns the list of replicas. The slice is never changed in place.
	Roster() []discovery.Replica
	// SubscribedReplicas returns the replicas that a data plane is sent, ordered by id.
	SubscribedReplicas(dataPlane string) peer.ReplicaIDs
}

// Caller calls other nodes, as a peer.Client does.
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, request, reply any) error
}

// Sender is what an Exchange says of its control plane in each summary.
type Sender struct {
	// Member is the address at which it serves other nodes.
	Member string
	// Incarnation is different for each process of the member; batches are numbered within it.
	Incarnation string
}

// Exchange serves the load reports of data planes, and exchanges load and demand with the other control planes. It is
// safe for concurrent use.
type Exchange struct {
	sender Sender
	host   Host
	caller Caller
	clock  func() time.Time
	// onDemand takes in a demand summary while this control plane holds the placement lease, or may do so.
	onDemand func(summary peer.LoadSummary)
	loads    *LoadAggregator
	packer   packer
	unpacked unpackedPeers
	pending  pendingCalls
	// usage passes the counts of tenants' requests on; it does nothing where none are wanted.
	usage *UsageRelay
	// lastLoad is the load summary of the last turn; it belongs to the goroutine of Run.
	lastLoad peer.LoadSummary
	// calls are those under way; Run waits for them.
	calls sync.WaitGroup
}

// NewExchange returns an exchange over the aggregator. It passes demand summaries, the own ones included, to onDemand, and counts of
// tenants' requests to relay.
func NewExchange(
	sender Sender,
	host Host,
	caller Caller,
	loads *LoadAggregator,
	onDemand func(summary peer.LoadSummary),
	relay *UsageRelay,
	clock func() time.Time,
) *Exchange {
	return &Exchange{
		sender:   sender,
		host:     host,
		caller:   caller,
		clock:    clock,
		onDemand: onDemand,
		usage:    relay,
		loads:    loads,
		unpacked: unpackedPeers{addresses: map[string]bool{}},
		pending:  pendingCalls{sentAt: map[string]time.Time{}},
	}
}

// Run sends summaries of load and demand until the context ends, and demand at once when requests have come to wait for
// another model.
func (e *Exchange) Run(ctx context.Context) {
	defer e.calls.Wait()
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			turn++
			e.sendTurn(ctx, turn%summariesPerDemand == 0)
		case <-e.loads.wake:
			e.sendDemand(ctx, true)
			nodesettings.Sleep(ctx, minDemandInterval)
		}
	}
}

// sendTurn sends what is due at a turn: to every other control plane the load summary, unless it says nothing new, and at the turns
// for it the demand to the placement lease's holder, in one message with the load.
func (e *Exchange) sendTurn(ctx context.Context, withDemand bool) {
	load := e.loads.Summary(e.sender.Member, e.clock())
	isNew := !reflect.DeepEqual(load, e.lastLoad)
	e.lastLoad = load
	if isNew || withDemand {
		e.sendLoad(ctx, load, withDemand)
	}
	if withDemand {
		e.usage.forget(e.clock())
	}
	if withDemand && !slices.Contains(e.host.OtherControlPlanes(), e.host.LeaseHolder()) {
		e.sendDemand(ctx, false)
	}
}

// sendLoad sends a load summary to every other control plane, with the demand for the placement lease's holder if that is wanted,
// without waiting for replies.
func (e *Exchange) sendLoad(ctx context.Context, load peer.LoadSummary, withDemand bool) {
	packed := e.packer.pack(load, e.host.Roster())
	leaseHolder := e.host.LeaseHolder()
	for _, address := range e.host.OtherControlPlanes() {
		if !e.pending.begin(address, e.clock()) {
			continue
		}
		summary := packed
		if e.unpacked.contains(address) {
			summary = load
		}
		var counts usage.Batch
		if withDemand && address == leaseHolder {
			summary = summary.WithDemand(e.demandSummary(false))
			counts = e.usage.next()
			summary.Usage = counts.Entries
		}
		e.calls.Go(func() {
			e.share(ctx, address, summary, counts)
			e.pending.end(address)
		})
	}
}

// share sends a summary of load, demand or both, and notes what became of it and of the counts in it.
func (e *Exchange) share(ctx context.Context, address string, summary peer.LoadSummary, counts usage.Batch) {
	var reply peer.LoadSummaryReply
	err := e.caller.Call(ctx, peer.MethodShareLoad, address, summary, &reply)
	if err == nil && summary.HasLoad() {
		e.unpacked.set(address, reply.UnknownVersion)
	}
	if !summary.HasDemand {
		return
	}
	if err != nil {
		e.loads.MarkUncertain(summary)
		return
	}
	e.loads.MarkDelivered(summary)
	if !summary.Partial {
		e.usage.acknowledge(reply.Receiver, counts)
	}
}

// demandSummary is what the placement lease's holder is sent of the demand here.
func (e *Exchange) demandSummary(partial bool) peer.LoadSummary {
	summary := e.loads.DemandSummary(e.sender.Member, partial)
	summary.Incarnation = e.sender.Incarnation
	return summary
}

// sendDemand sends the demand summary to the placement lease's holder, which may be this control plane, without waiting
// for the reply.
func (e *Exchange) sendDemand(ctx context.Context, partial bool) {
	leaseHolder := e.host.LeaseHolder()
	if leaseHolder == "" {
		return
	}
	summary := e.demandSummary(partial)
	if partial && len(summary.Models) == 0 {
		return
	}
	if leaseHolder == e.sender.Member {
		e.onDemand(summary)
		e.loads.MarkDelivered(summary)
		return
	}
	e.calls.Go(func() { e.share(ctx, leaseHolder, summary, usage.Batch{}) })
}

// HandleLoadReport takes in a data plane's load and answers with the load of all others on the replicas that it may use,
// packed if the data plane knows the same replicas.
func (e *Exchange) HandleLoadReport(_ context.Context, report peer.LoadReport) peer.FleetLoad {
	e.loads.AddReport(report, e.clock())
	subscribed := e.host.SubscribedReplicas(report.DataPlane)
	fleet := e.loads.FleetLoadFor(report.DataPlane, subscribed.IDs)
	e.usage.merge(report.Usage)
	fleet.Receiver, fleet.TimeOfDayUs = e.sender.Incarnation, e.usage.timeOfDayUs(e.clock())
	if report.Endpoints == 0 || report.Endpoints != subscribed.Digest {
		return fleet
	}
	if packed, complete := peer.PackLoads(subscribed, fleet.Replicas); complete {
		fleet.Replicas, fleet.Packed = peer.OutcomesOnly(fleet.Replicas), packed
	}
	return fleet
}

// HandleLoadSummary takes in another control plane's summary. If its loads are packed by a roster that isn't the one
// here, they are not taken in and the sender is asked for summaries that aren't packed.
func (e *Exchange) HandleLoadSummary(_ context.Context, summary peer.LoadSummary) peer.LoadSummaryReply {
	reply := peer.LoadSummaryReply{}
	if summary.HasDemand {
		e.onDemand(summary)
		e.usage.merge(summary.Usage)
		reply.Receiver = e.sender.Incarnation
	}
	if summary.Packed != nil {
		loads, known := e.packer.unpack(summary.Packed, e.host.Roster())
		if !known {
			reply.UnknownVersion = true
			return reply
		}
		peer.MergeOutcomes(loads, summary.Replicas)
		summary.Replicas = loads
	}
	if summary.Replicas != nil {
		e.loads.AddSummary(summary, e.clock())
	}
	return reply
}

// unpackedPeers are the control planes that have another roster, and so can't unpack loads. It is safe for concurrent
// use.
type unpackedPeers struct {
	// lock guards addresses.
	lock      sync.Mutex
	addresses map[string]bool
}

// contains says whether the control plane needs summaries that aren't packed.
func (u *unpackedPeers) contains(address string) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.addresses[address]
}

// set records whether the control plane could not unpack the last summary.
func (u *unpackedPeers) set(address string, unpacked bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.addresses[address] = unpacked
}

// pendingCalls are the load summaries under way, at most one to a control plane. It is safe for concurrent use.
type pendingCalls struct {
	// lock guards sentAt.
	lock sync.Mutex
	// sentAt is when the last summary without an answer was sent, by the address of its receiver.
	sentAt map[string]time.Time
}

// begin records that a summary is sent now, and returns false if an earlier one may yet be answered.
func (p *pendingCalls) begin(address string, now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if sentAt, isPending := p.sentAt[address]; isPending && now.Sub(sentAt) < unansweredDelay {
		return false
	}
	p.sentAt[address] = now
	return true
}

// end records that a summary was answered, or that its call has failed.
func (p *pendingCalls) end(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.sentAt, address)
}
