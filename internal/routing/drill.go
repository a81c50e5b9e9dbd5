package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/drill"
)

// Drill is a rehearsed loss in force at this data plane (docs/design/rehearsal.md): for a share of the
// requests the replicas of a region or zone are no candidates, unless the request could not be
// served elsewhere. What is in flight is left alone. A Drill is made once for each number and kept
// from snapshot to snapshot; Touch, Over and Report may be called from any goroutine.
type Drill struct {
	Number uint64

	affects        ZoneFilter
	share          float64       // of the requests
	startedAt      time.Time     // requests that arrived before are left alone
	contactTimeout time.Duration // without Touch after which it is over
	endsAt         atomic.Pointer[time.Time]
	lastContact    atomic.Pointer[time.Time]
	// elsewhere is Matcher.servableElsewhere; tests put a faulty one in its place.
	servableElsewhere func(m *Matcher, request *Request, now time.Time) bool

	// lock guards what follows.
	lock         sync.Mutex
	routes       map[string]*routeRecord
	lastReport   *drill.Report // the last report, made at lastReportAt
	lastReportAt time.Time
}

// NewDrill begins a drill announced by the control plane. It ends by itself after the time that the
// notice leaves (drill.Longest at most), or after that long a silence.
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
	until := now.Add(min(time.Duration(notice.LeftMs)*time.Millisecond, drill.MaxDuration))
	active.endsAt.Store(&until)
	active.lastContact.Store(&now)
	return active
}

// Touch notes that the control plane still holds to the drill, with that time left. It may shorten
// the drill and never makes it longer.
func (d *Drill) KeepAlive(now time.Time, remaining time.Duration) {
	if until := now.Add(remaining); until.Before(*d.endsAt.Load()) {
		d.endsAt.Store(&until)
	}
	d.lastContact.Store(&now)
}

// Over returns why the drill has ended, or an empty string while it is in force.
func (d *Drill) EndReason(now time.Time) string {
	if !now.Before(*d.endsAt.Load()) {
		return drill.EndedByTime
	}
	if now.Sub(*d.lastContact.Load()) >= d.contactTimeout {
		return drill.EndedWithoutContact
	}
	return ""
}

// picks reports whether an attempt belongs to the share. A smaller share lies within a larger one.
func (d *Drill) selects(attempt string) bool {
	sum := sha256.Sum256([]byte(attempt))
	return float64(binary.BigEndian.Uint32(sum[:])) < d.share*(1<<32)
}

// mark puts a new request under the drill and decides whether it is drilled.
func (d *Drill) admit(request *Request, now time.Time) {
	if request.Arrived.Before(d.startedAt) || d.EndReason(now) != "" {
		return
	}
	request.drill = d
	request.underDrill = d.selects(request.Attempt)
}

// exemptionDivisor: a drilled request that has waited a tenth of its aim may use all replicas.
const exemptionDivisor = 10

// lost is which replicas a request must do without, or nil for none. A nil Drill takes none, at the
// price of one comparison.
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
	if now.Sub(request.Arrived) > request.latencyTargetOrTimeout()/exemptionDivisor {
		request.underDrill = false
		d.updateRoute(request, func(record *routeRecord) { record.counts.Drilled.Exempted++ })
		request.drill = nil
		return nil
	}
	return d.affects
}

// sent counts a drilled request that went to a drilled replica since no other could serve it.
func (d *Drill) recordSend(request *Request, replica *Replica) {
	if request.underDrill && request.onlyCopyLost && d.affects(replica.Zone, replica.Region) {
		request.underDrill = false
		d.updateRoute(request, func(record *routeRecord) { record.counts.KeptInScope++ })
	}
}

// elsewhere reports whether a replica outside the request's drill could take it, were a slot free.
func (m *Matcher) servableElsewhere(request *Request, now time.Time) bool {
	for _, position := range request.hostsIn(m.index) {
		node := &m.graph.nodes[m.graph.nodeAt[position]]
		if request.drill.affects(node.replica.Zone, node.replica.Region) {
			continue
		}
		if m.eligible(request, node, now) && !node.state.isSuspected(now) {
			return true
		}
	}
	return false
}
