package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/drill"
)

// Drill is the rehearsal of the loss of a region or zone, in force at this data plane (docs/design/rehearsal.md): for
// a share of the requests, replicas there are excluded, unless the request could not be served elsewhere.
// Requests in flight are not affected. A Drill is created once for each number and kept from snapshot to
// snapshot; KeepAlive, EndReason and Report may be called from any goroutine.
type Drill struct {
	Number uint64

	affects        ZoneFilter
	share          float64       // of the requests
	startedAt      time.Time     // earlier requests are not affected
	contactTimeout time.Duration // time without KeepAlive after which it ends
	endsAt         atomic.Pointer[time.Time]
	lastContact    atomic.Pointer[time.Time]
	// servableElsewhere is Matcher.servableElsewhere; tests replace it by a faulty function.
	servableElsewhere func(m *Matcher, request *Request, now time.Time) bool

	// lock guards the fields below.
	lock         sync.Mutex
	routes       map[string]*routeRecord
	lastReport   *drill.Report // the last report, made at lastReportAt
	lastReportAt time.Time
}

// NewDrill starts a drill announced by the control plane. It ends after the remaining time in the notice
// (drill.MaxDuration at most), or after contactTimeout without KeepAlive.
func NewDrill(notice drill.Notice, now time.Time, contactTimeout time.Duration) *Drill {
	active := &Drill{
		Number:            notice.Number,
		affects:           notice.Scope.Covers,
		share:             notice.Share,
		startedAt:         now,
		contactTimeout:    contactTimeout,
		servableElsewhere: (*Matcher).servableElsewhere,
		routes:            map[string]*routeRecord{},
	}
	endsAt := now.Add(min(time.Duration(notice.RemainingMs)*time.Millisecond, drill.MaxDuration))
	active.endsAt.Store(&endsAt)
	active.lastContact.Store(&now)
	return active
}

// KeepAlive records that the control plane still announces the drill, with the given time remaining. It may
// shorten the drill but never extends it.
func (d *Drill) KeepAlive(now time.Time, remaining time.Duration) {
	if endsAt := now.Add(remaining); endsAt.Before(*d.endsAt.Load()) {
		d.endsAt.Store(&endsAt)
	}
	d.lastContact.Store(&now)
}

// EndReason returns the reason why the drill has ended, or an empty string while it is in force.
func (d *Drill) EndReason(now time.Time) string {
	if !now.Before(*d.endsAt.Load()) {
		return drill.EndedByTime
	}
	if now.Sub(*d.lastContact.Load()) >= d.contactTimeout {
		return drill.EndedWithoutContact
	}
	return ""
}

// selects reports whether an attempt belongs to the drilled share. A smaller share is a subset of a larger one.
func (d *Drill) selects(attempt string) bool {
	sum := sha256.Sum256([]byte(attempt))
	return float64(binary.BigEndian.Uint32(sum[:])) < d.share*(1<<32)
}

// admit counts a new request in the drill and decides whether it is drilled.
func (d *Drill) admit(request *Request, now time.Time) {
	if request.ArrivedAt.Before(d.startedAt) || d.EndReason(now) != "" {
		return
	}
	request.drill = d
	request.underDrill = d.selects(request.AttemptID)
}

// excluded returns the filter of the replicas that a request must not use, or nil for none. A request that finds no place outside the
// drill at its first try may use all replicas from then on, so that nobody waits for a drill. A nil Drill
// excludes none and costs one comparison.
func (d *Drill) excluded(m *Matcher, request *Request, now time.Time) ZoneFilter {
	if d == nil || !request.underDrill {
		return nil
	}
	if d.EndReason(now) != "" {
		request.underDrill = false
		request.drill = nil
		return nil
	}
	request.onlyCopyLost = !d.servableElsewhere(m, request, now)
	if request.onlyCopyLost {
		return nil
	}
	if request.heldByDrill {
		request.underDrill = false
		d.updateRoute(request, func(record *routeRecord) { record.counts.Drilled.Exempted++ })
		request.drill = nil
		return nil
	}
	request.heldByDrill = true
	return d.affects
}

// recordSend counts a drilled request that is sent to a drilled replica because no other could serve it.
func (d *Drill) recordSend(request *Request, replica *Replica) {
	if request.underDrill && request.onlyCopyLost && d.affects(replica.Zone, replica.Region) {
		request.underDrill = false
		d.updateRoute(request, func(record *routeRecord) { record.counts.KeptInScope++ })
	}
}

// servableElsewhere reports whether a replica outside the request's drill could serve it, regardless of free slots.
func (m *Matcher) servableElsewhere(request *Request, now time.Time) bool {
	for _, position := range request.hostsIn(m.index) {
		node := &m.graph.nodes[m.graph.nodeAt[position]]
		if request.drill.affects(node.replica.Zone, node.replica.Region) {
			continue
		}
		if m.isEligible(request, node, now) && !node.state.isSuspected(now) {
			return true
		}
	}
	return false
}
