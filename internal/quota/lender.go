package quota

import (
	"time"
)

// Lender is the part of a data plane that owns a share of the limits of all tenants and lends it to homes. It keeps
// in its books what it may still have lent to whom, so that no part of the share is ever at two places.
type Lender struct {
	parameters Parameters
	// life names this process of the data plane daemon, which began when it was born.
	dataPlane    string
	incarnation  string
	startedAt    time.Time
	lastSequence uint64
	// share is the data plane's part of every limit, believed until touched + Touch. It has been counted among the
	// data planes since countedSince; joining tells that others may count it later than that.
	share        float64
	fleetSizeAt  time.Time
	countedSince time.Time
	joining      bool
	// anew is set where the control daemons have all started anew, like this process.
	fleetRestarted bool
	leases         map[leaseKey][]lease
	homeShards     map[string]*homeShard
	chosen         [][]string
	// releasedAt tells when a home last released its part of a group.
	releasedAt map[int]time.Time
	// begun holds the groups that were lent of.
	hasLent map[int]bool
}

type leaseKey struct {
	homeShard string
	group     int
}

// lease is a share that may be lent until a moment.
type lease struct {
	share float64
	until time.Time
}

// homeShard is what a lender knows of another data plane as a home.
type homeShard struct {
	stamp      Stamp
	answeredAt time.Time
	// failures counts the calls without an answer since the last one; skipUntil is when a home that doesn't answer is
	// asked again.
	failures  int
	skipUntil time.Time
}

// Offer is a request to be sent to a home.
type Offer struct {
	HomeShard string
	Request   LendRequest
}

// NewLender returns a lender without a share. It lends nothing for a term, since what an earlier process of the daemon
// lent may not have ended; homes that it asks end that at once, and after a start of all that is relied upon.
func NewLender(parameters Parameters, daemon, incarnation string, now time.Time) *Lender {
	return &Lender{
		parameters:  parameters,
		dataPlane:   daemon,
		incarnation: incarnation,
		startedAt:   now,
		leases:      map[leaseKey][]lease{},
		homeShards:  map[string]*homeShard{},
		chosen:      make([][]string, max(parameters.Groups, 1)),
		releasedAt:  map[int]time.Time{},
		hasLent:     map[int]bool{},
	}
}

// FleetSize is what control daemons tell a data plane of how many there are. Sure says that the number holds for longer
// than the control daemons have run, Since how long this data plane has been one of them.
type FleetSize struct {
	DataPlanes  int
	CountedFor  time.Duration
	Established bool
}

// Touch notes the count that was confirmed in answer to a question put at the time given. Where the last such answer is so
// old that this data plane may not have been counted meanwhile, it joins anew. After a start of all control daemons all
// data planes are new, and nobody can be waited for.
func (l *Lender) UpdateFleetSize(count FleetSize, requestedAt time.Time) {
	if requestedAt.Before(l.fleetSizeAt) {
		return
	}
	l.fleetRestarted = l.fleetRestarted || l.fleetSizeAt.IsZero() && !count.Established
	if l.fleetSizeAt.IsZero() || requestedAt.Sub(l.fleetSizeAt) >= l.parameters.SilentExpiry {
		l.countedSince, l.joining = requestedAt, count.Established
	}
	l.countedSince = earliest(l.countedSince, requestedAt.Add(-count.CountedFor))
	l.share, l.fleetSizeAt = 1/float64(max(count.DataPlanes, 1)), requestedAt
}

// HasFreshFleetSize says whether the count was confirmed lately.
func (l *Lender) HasFreshFleetSize(now time.Time) bool {
	return !l.fleetSizeAt.IsZero() && now.Sub(l.fleetSizeAt) < l.parameters.FleetSizeTTL
}

// lends says whether the share may be lent now.
func (l *Lender) mayLend(now time.Time) bool {
	if !l.HasFreshFleetSize(now) {
		return false
	}
	joined := !l.joining || now.Sub(l.countedSince) > l.parameters.JoinDelay()
	return joined && (l.fleetRestarted || now.Sub(l.startedAt) > l.parameters.leaseDuration())
}

// Plan returns the requests to be sent now, and notes what they lend as lent. Members are the names of the data planes
// that may be homes, this one among them.
func (l *Lender) Plan(members []string, now time.Time) []Offer {
	l.expireLeases(now)
	requests := map[string]*LendRequest{}
	var order []string
	request := func(homeShard string) *LendRequest {
		if requests[homeShard] == nil {
			l.lastSequence++
			requests[homeShard] = &LendRequest{DataPlane: l.dataPlane, LenderIncarnation: l.incarnation, Sequence: l.lastSequence, Stamp: l.homeShard(homeShard).stamp}
			order = append(order, homeShard)
		}
		return requests[homeShard]
	}
	for group := range l.chosen {
		chosen, probed := l.chooseHomeShards(Rank(group, members), now)
		l.chosen[group] = chosen
		for _, homeShard := range probed {
			request(homeShard)
		}
		for _, homeShard := range chosen {
			one := request(homeShard)
			if share := l.leaseShare(homeShard, group, len(chosen), now); share > 0 {
				one.Loans = append(one.Loans, Loan{
					Group:       group,
					Share:       share,
					HomeShards:  len(chosen),
					Transferred: l.recentlyReleased(group, now),
					IdleMs:      l.idleTime(group, now).Milliseconds(),
				})
			}
		}
		l.hasLent[group] = l.hasLent[group] || l.mayLend(now) && len(chosen) > 0
	}
	offers := make([]Offer, 0, len(order))
	for _, homeShard := range order {
		offers = append(offers, Offer{HomeShard: homeShard, Request: *requests[homeShard]})
	}
	return offers
}

// maxStampAge is the part of a term after which a stamp is too old to lend on: little would be left of the loan.
const maxStampAge = 0.7

// choose picks the first ranked homes that answer, and those to be asked whether they do.
func (l *Lender) chooseHomeShards(ranked []string, now time.Time) (chosen, probed []string) {
	for _, name := range ranked {
		if len(chosen) >= l.parameters.HomeShardsPerGroup {
			break
		}
		known := l.homeShard(name)
		answers := known.stamp.Incarnation != "" && now.Sub(known.answeredAt) < time.Duration(maxStampAge*float64(l.parameters.LoanTerm))
		switch {
		case answers:
			chosen = append(chosen, name)
		case len(probed) < l.parameters.HomeShardsPerGroup && !now.Before(known.skipUntil):
			probed = append(probed, name)
		}
	}
	return chosen, probed
}

func (l *Lender) homeShard(name string) *homeShard {
	if l.homeShards[name] == nil {
		l.homeShards[name] = &homeShard{}
	}
	return l.homeShards[name]
}

// Answered notes a home's answer. It says whether the home is newly known to answer, so that a plan is due at once.
func (l *Lender) HandleReply(name string, reply LendReply, now time.Time) bool {
	known := l.homeShard(name)
	if reply.Released {
		return l.handleRelease(name, reply.Stamp.Incarnation, now)
	}
	if known.stamp.Incarnation == reply.Stamp.Incarnation && reply.Stamp.At <= known.stamp.At {
		return false
	}
	fresh := known.stamp.Incarnation != reply.Stamp.Incarnation
	known.stamp, known.answeredAt, known.failures, known.skipUntil = reply.Stamp, now, 0, time.Time{}
	return fresh
}

// released takes what a home released out of the books, if that is the life of the home that has it. The home leaves, so
// it isn't asked again soon.
func (l *Lender) handleRelease(name, incarnation string, now time.Time) bool {
	known := l.homeShard(name)
	known.skipUntil = now.Add(l.parameters.SilentExpiry)
	if known.stamp.Incarnation != incarnation {
		return false
	}
	known.stamp = Stamp{}
	for key := range l.leases {
		if key.homeShard == name {
			l.releasedAt[key.group] = now
			delete(l.leases, key)
		}
	}
	return true
}

// toleratedFailures is how many calls in a row may fail before a home counts as silent: a busy one may be late once.
const toleratedFailures = 1

// Failed notes that a home gave no answer. After more than one in a row it isn't lent to before it answers again.
func (l *Lender) HandleFailure(name string, now time.Time) {
	known := l.homeShard(name)
	known.failures++
	if known.failures > toleratedFailures || known.stamp.Incarnation == "" {
		known.stamp, known.skipUntil = Stamp{}, now.Add(2*l.parameters.RenewalInterval)
	}
}

// Homes returns the homes of a tenant's group that shares were last lent to.
func (l *Lender) HomeShards(tenant string) []string { return l.chosen[l.parameters.Group(tenant)] }
