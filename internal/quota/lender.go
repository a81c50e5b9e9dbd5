package quota

import "time"

const (
	// maxStampAgeTerms is the fraction of a loan term after which a stamp is too old to be used: little would be left of the
	// loan's term.
	maxStampAgeTerms = 0.7
	// toleratedFailures is the number of consecutive failed calls after which a home shard still counts as responsive: a busy
	// one may miss a timeout once.
	toleratedFailures = 1
	// probeIntervals is the number of renewal intervals after which an unresponsive home shard is probed again.
	probeIntervals = 2
)

// Lender owns a data plane's share of the limits of all tenants and lends it to home shards.
type Lender struct {
	parameters Parameters
	dataPlane  string
	// incarnation is the name of this process of the data plane, which started at startedAt.
	incarnation  string
	startedAt    time.Time
	lastSequence uint64
	// share is the data plane's share of every limit. It was confirmed at fleetSizeAt, zero if never, and is valid for
	// FleetSizeTTL.
	share       float64
	fleetSizeAt time.Time
	// countedSince is when this data plane was first counted in the fleet size. joining is set if other data planes may
	// learn the new fleet size later than that.
	countedSince time.Time
	joining      bool
	// fleetRestarted is set if all control planes have restarted as well as this process.
	fleetRestarted bool
	leases         leaseTable
	homeShards     map[string]*homeShard
	groups         []lentGroup
}

// lentGroup is a lender's state for a group of tenants.
type lentGroup struct {
	// homeShards holds the home shards that the share was last lent to.
	homeShards []string
	// releasedAt is when a home shard last released its part of the share, zero if none did.
	releasedAt time.Time
	// hasLent is set once the group's share was lent.
	hasLent bool
}

// homeShard is a lender's state for a home shard.
type homeShard struct {
	// stamp is the last stamp received, answeredAt when it was received. Without a stamp nothing can be lent.
	stamp      Stamp
	answeredAt time.Time
	// failures counts the failed calls since the last reply.
	failures int
	// skipUntil is when an unresponsive home shard is probed again.
	skipUntil time.Time
}

// NewLender returns a lender without a share. At first it lends nothing for a leaseDuration, since loans of an earlier process
// of the data plane may still be in force. After a restart of the whole fleet it does not wait: home shards end those loans
// when they receive the first request of the new process.
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

// FleetSize is the number of data planes as reported by the control planes.
type FleetSize struct {
	DataPlanes int
	// CountedFor is how long the receiving data plane has been counted.
	CountedFor time.Duration
	// Established is set if the number is older than the control plane processes.
	Established bool
}

// UpdateFleetSize records the fleet size that was confirmed in reply to a request sent at requestedAt. If the last such reply
// is so old that this data plane may not have been counted in between, it joins again. After a restart of all control planes
// all data planes join at once, and there is no JoinDelay.
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

// HasFreshFleetSize reports whether the fleet size was confirmed within FleetSizeTTL.
func (l *Lender) HasFreshFleetSize(now time.Time) bool {
	return !l.fleetSizeAt.IsZero() && now.Sub(l.fleetSizeAt) < l.parameters.FleetSizeTTL
}

// mayLend reports whether the share may be lent now. If it was lent too early, the sum of all shares could exceed the limits:
// other data planes may still divide them without this one, or loans of an earlier process of this data plane may be in force.
func (l *Lender) mayLend(now time.Time) bool {
	hasJoined := !l.joining || now.Sub(l.countedSince) > l.parameters.JoinDelay()
	formerLoansEnded := l.fleetRestarted || now.Sub(l.startedAt) > l.parameters.leaseDuration()
	return l.HasFreshFleetSize(now) && hasJoined && formerLoansEnded
}

// HomeShards returns the home shards that the share of the tenant's group was last lent to.
func (l *Lender) HomeShards(tenant string) []string {
	return l.groups[l.parameters.Group(tenant)].homeShards
}

// HandleReply records the reply of a home shard. It reports whether Plan is due at once because this is the first reply of an
// incarnation, or because the home shard has released its loans.
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

// handleRelease removes the leases to a home shard that released its loans, if they were to that incarnation. The home shard
// is shutting down, so it is not probed for a SilentExpiry.
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

// HandleFailure records that a call to a home shard failed. After more than toleratedFailures in a row nothing is lent to it
// until it replies again.
func (l *Lender) HandleFailure(name string, now time.Time) {
	shard := l.homeShard(name)
	shard.failures++
	if shard.failures > toleratedFailures || shard.stamp.Incarnation == "" {
		shard.stamp = Stamp{}
		shard.skipUntil = now.Add(probeIntervals * l.parameters.RenewalInterval)
	}
}

// homeShard returns the state of a home shard. It creates one if there is none.
func (l *Lender) homeShard(name string) *homeShard {
	if l.homeShards[name] == nil {
		l.homeShards[name] = &homeShard{}
	}
	return l.homeShards[name]
}

// earliest returns the earlier of two times.
func earliest(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
