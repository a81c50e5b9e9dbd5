package quota

import "time"

const (
	// maxStampAge is the part of a loan term after which a stamp is too old to lend on: little would be left of the
	// loan.
	maxStampAge = 0.7
	// toleratedFailures is how many calls in a row may fail before a home shard counts as unresponsive: a busy one may
	// be late once.
	toleratedFailures = 1
	// probeIntervals is the time, in renewal intervals, after which an unresponsive home shard is asked again.
	probeIntervals = 2
)

// Lender is the part of a data plane that owns a share of the limits of all tenants and lends it to home shards.
type Lender struct {
	parameters Parameters
	dataPlane  string
	// incarnation names this process of the data plane, which started at startedAt.
	incarnation  string
	startedAt    time.Time
	lastSequence uint64
	// share is the data plane's part of every limit. It was confirmed at fleetSizeAt, zero if never, and holds for the
	// FleetSizeTTL.
	share       float64
	fleetSizeAt time.Time
	// countedSince is since when the data plane has been counted among all data planes. joining reports that others
	// may count it only later than that.
	countedSince time.Time
	joining      bool
	// fleetRestarted is set if all control daemons started anew, like this process.
	fleetRestarted bool
	leases         leaseTable
	homeShards     map[string]*homeShard
	groups         []lentGroup
}

// lentGroup is what a lender knows of a group.
type lentGroup struct {
	// homeShards are those that the share was last lent to.
	homeShards []string
	// releasedAt is when a home shard last released its part of the group, zero if none did.
	releasedAt time.Time
	// hasLent is set once the share of the group was lent.
	hasLent bool
}

// homeShard is what a lender knows of a data plane as a home shard.
type homeShard struct {
	// stamp is the last one received, answeredAt when that was. Without a stamp nothing can be lent.
	stamp      Stamp
	answeredAt time.Time
	// failures counts the calls without a reply since the last one.
	failures int
	// skipUntil is when a home shard that doesn't reply is asked again.
	skipUntil time.Time
}

// NewLender returns a lender without a share. It lends nothing for a term, since what an earlier process of the data
// plane lent may still be in force. Home shards that it asks end that at once, and after a restart of the whole fleet
// the lender relies on it.
func NewLender(parameters Parameters, dataPlane, incarnation string, now time.Time) *Lender {
	return &Lender{
		parameters:  parameters,
		dataPlane:   dataPlane,
		incarnation: incarnation,
		startedAt:   now,
		leases:      leaseTable{},
		homeShards:  map[string]*homeShard{},
		groups:      make([]lentGroup, parameters.groupCount()),
	}
}

// FleetSize is what control daemons tell a data plane of the number of data planes.
type FleetSize struct {
	DataPlanes int
	// CountedFor is how long this data plane has been counted among them.
	CountedFor time.Duration
	// Established reports that the number holds for longer than the control daemons have run.
	Established bool
}

// UpdateFleetSize records the fleet size that was confirmed in reply to a request sent at requestedAt. If the last
// such reply is so old that this data plane may not have been counted meanwhile, it joins anew. After a restart of all
// control daemons all data planes are new, and there is nobody to wait for.
func (l *Lender) UpdateFleetSize(size FleetSize, requestedAt time.Time) {
	if requestedAt.Before(l.fleetSizeAt) {
		return
	}
	isFirst := l.fleetSizeAt.IsZero()
	if isFirst && !size.Established {
		l.fleetRestarted = true
	}
	if isFirst || requestedAt.Sub(l.fleetSizeAt) >= l.parameters.SilentExpiry {
		l.countedSince, l.joining = requestedAt, size.Established
	}
	l.countedSince = earliest(l.countedSince, requestedAt.Add(-size.CountedFor))
	l.share = 1 / float64(max(size.DataPlanes, 1))
	l.fleetSizeAt = requestedAt
}

// HasFreshFleetSize reports whether the fleet size was confirmed lately.
func (l *Lender) HasFreshFleetSize(now time.Time) bool {
	return !l.fleetSizeAt.IsZero() && now.Sub(l.fleetSizeAt) < l.parameters.FleetSizeTTL
}

// mayLend reports whether the share may be lent now. Lent too early, it would add to shares that others still divide
// among themselves, or to those that an earlier process of this data plane lent.
func (l *Lender) mayLend(now time.Time) bool {
	hasJoined := !l.joining || now.Sub(l.countedSince) > l.parameters.JoinDelay()
	formerLoansEnded := l.fleetRestarted || now.Sub(l.startedAt) > l.parameters.leaseDuration()
	return l.HasFreshFleetSize(now) && hasJoined && formerLoansEnded
}

// HomeShards returns the home shards of a tenant's group that shares were last lent to.
func (l *Lender) HomeShards(tenant string) []string {
	return l.groups[l.parameters.Group(tenant)].homeShards
}

// HandleReply records the reply of a home shard. It reports whether Plan is due at once, because the home shard is
// newly known to reply, or has released its part.
func (l *Lender) HandleReply(name string, reply LendReply, now time.Time) (planDue bool) {
	if reply.Released {
		return l.handleRelease(name, reply.Stamp.Incarnation, now)
	}
	shard := l.homeShard(name)
	isSameIncarnation := shard.stamp.Incarnation == reply.Stamp.Incarnation
	if isSameIncarnation && reply.Stamp.At <= shard.stamp.At {
		return false
	}
	*shard = homeShard{stamp: reply.Stamp, answeredAt: now}
	return !isSameIncarnation
}

// handleRelease takes what a home shard released out of the lease table, if it was leased to that incarnation of it.
// The home shard is shutting down, so it isn't asked again soon.
func (l *Lender) handleRelease(name, incarnation string, now time.Time) bool {
	shard := l.homeShard(name)
	shard.skipUntil = now.Add(l.parameters.SilentExpiry)
	if shard.stamp.Incarnation != incarnation {
		return false
	}
	shard.stamp = Stamp{}
	for _, group := range l.leases.release(name) {
		l.groups[group].releasedAt = now
	}
	return true
}

// HandleFailure records that a home shard gave no reply. After too many in a row nothing is lent to it before it
// replies again.
func (l *Lender) HandleFailure(name string, now time.Time) {
	shard := l.homeShard(name)
	shard.failures++
	if shard.failures > toleratedFailures || shard.stamp.Incarnation == "" {
		shard.stamp = Stamp{}
		shard.skipUntil = now.Add(probeIntervals * l.parameters.RenewalInterval)
	}
}

func (l *Lender) homeShard(name string) *homeShard {
	if l.homeShards[name] == nil {
		l.homeShards[name] = &homeShard{}
	}
	return l.homeShards[name]
}

func earliest(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
