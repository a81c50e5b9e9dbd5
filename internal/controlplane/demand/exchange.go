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
	// summariesPerDemand is the number of summary intervals per demand summary. An unchanged load summary is sent only together
	// with the demand: often enough that its receivers keep it (summaryTTL) even if one message is lost.
	summariesPerDemand = 2
	// unansweredDelay is how long no further load summary is sent to a control plane that has not answered the last one: more calls
	// would only add to the load of a node that doesn't keep up. It also bounds the delay caused by a call that the network lost.
	unansweredDelay = 600 * time.Millisecond
	// minDemandInterval is the shortest time between two partial demand summaries.
	minDemandInterval = 20 * time.Millisecond
)

// Host is the control plane that an Exchange belongs to, with what it knows of the fleet.
type Host interface {
	// OtherControlPlanes returns the addresses of all other known control planes.
	OtherControlPlanes() []string
	// LeaseHolder returns the address of the placement lease's holder, or "" if none is known.
	LeaseHolder() string
	// Roster returns the list of replicas. The slice is never changed in place.
	Roster() []discovery.Replica
	// SubscribedReplicas returns the replicas in the endpoint sets that a data plane has subscribed to, ordered by id.
	SubscribedReplicas(dataPlane string) peer.ReplicaIDs
}

// Caller calls other nodes, as a peer.Client does.
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, request, reply any) error
}

// Sender identifies an Exchange's control plane in each summary.
type Sender struct {
	// Member is the address at which it serves other nodes.
	Member string
	// Incarnation differs for each process of the member; batches are numbered within an incarnation.
	Incarnation string
}

// Exchange serves the load reports of data planes, and exchanges load and demand with the other control planes. It is
// safe for concurrent use.
type Exchange struct {
	sender Sender
	host   Host
	caller Caller
	clock  func() time.Time
	// onDemand handles a demand summary. It is called while this control plane, or the one that sent the summary, takes this one
	// to hold the placement lease.
	onDemand func(summary peer.LoadSummary)
	loads    *LoadAggregator
	packer   packer
	unpacked unpackedPeers
	pending  pendingCalls
	// usage relays the counts of tenants' requests; it is nil if none are wanted.
	usage *UsageRelay
	// lastLoad is the load summary of the last summary interval. Only the goroutine of Run uses it.
	lastLoad peer.LoadSummary
	// calls counts the calls in progress; Run waits for them.
	calls sync.WaitGroup
}

// NewExchange returns an exchange of the aggregator's loads. It passes demand summaries, including this control plane's own, to
// onDemand, and counts of tenants' requests to relay.
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

// Run sends summaries of load and demand periodically until the context ends, and demand also at once when a model newly has
// queued requests.
func (e *Exchange) Run(ctx context.Context) {
	defer e.calls.Wait()
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick++
			e.sendPeriodic(ctx, tick%summariesPerDemand == 0)
		case <-e.loads.wake:
			e.sendDemand(ctx, true)
			nodesettings.Sleep(ctx, minDemandInterval)
		}
	}
}

// sendPeriodic sends the load summary to every other control plane if it has changed or withDemand is set. If withDemand is set, it
// also sends the demand to the placement lease's holder, in one message with the load.
func (e *Exchange) sendPeriodic(ctx context.Context, withDemand bool) {
	load := e.loads.Summary(e.sender.Member, e.clock())
	hasChanged := !reflect.DeepEqual(load, e.lastLoad)
	e.lastLoad = load
	if hasChanged || withDemand {
		e.sendLoad(ctx, load, withDemand)
	}
	if withDemand {
		e.usage.dropExpired(e.clock())
	}
	if withDemand && !slices.Contains(e.host.OtherControlPlanes(), e.host.LeaseHolder()) {
		e.sendDemand(ctx, false)
	}
}

// sendLoad sends a load summary to every other control plane without waiting for replies. If withDemand is set, the summary for the
// placement lease's holder also carries the demand.
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
			counts = e.usage.nextBatch()
			summary.Usage = counts.Entries
		}
		e.calls.Go(func() {
			e.sendSummary(ctx, address, summary, counts)
			e.pending.end(address)
		})
	}
}

// sendSummary sends a summary of load, demand or both, and records whether it and the counts in it were delivered.
func (e *Exchange) sendSummary(ctx context.Context, address string, summary peer.LoadSummary, counts usage.Batch) {
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

// demandSummary returns this control plane's demand summary for the placement lease's holder.
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
	e.calls.Go(func() { e.sendSummary(ctx, leaseHolder, summary, usage.Batch{}) })
}

// HandleLoadReport records a data plane's load and returns the load of all other data planes on the replicas that it may use,
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

// HandleLoadSummary records another control plane's summary. If its loads are packed by a roster that differs from this
// node's, they are ignored and the sender is asked for summaries that aren't packed.
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

// unpackedPeers records the control planes that have a different roster and so can't unpack loads. It is safe for concurrent
// use.
type unpackedPeers struct {
	// lock guards addresses.
	lock      sync.Mutex
	addresses map[string]bool
}

// contains reports whether the control plane needs summaries that aren't packed.
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

// pendingCalls records the load summaries that have not been answered, at most one per control plane. It is safe for concurrent
// use.
type pendingCalls struct {
	// lock guards sentAt.
	lock sync.Mutex
	// sentAt is when the last unanswered summary was sent, by the address of its receiver.
	sentAt map[string]time.Time
}

// begin records that a summary is sent now. It returns false, and records nothing, if an earlier one was sent less than
// unansweredDelay ago and has not been answered.
func (p *pendingCalls) begin(address string, now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if sentAt, isPending := p.sentAt[address]; isPending && now.Sub(sentAt) < unansweredDelay {
		return false
	}
	p.sentAt[address] = now
	return true
}

// end records that a summary was answered or its call failed.
func (p *pendingCalls) end(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.sentAt, address)
}
