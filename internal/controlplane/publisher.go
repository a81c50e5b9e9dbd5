package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

// Snapshot is what a control plane tells data planes. A snapshot is never changed; the
// publisher swaps in the next one whole.
type Snapshot struct {
	Version uint64
	// ConfirmedAt is a moment, by the steady clock, at or before which a majority of members
	// confirmed that nothing newer than this state was in force.
	ConfirmedAt         time.Time
	Revision            int64
	PackedConfiguration []byte
	Zones               map[string]peer.ZoneState
	ZoneVersion         uint64
	RosterVersion       uint64
	RosterAsOf          time.Time
	Replicas            []discovery.Replica
	Cordoned            []string
	LeaseHolder         string
	ControlPlanes       []string
	DataPlaneCount      int
	EarlyDataPlaneCount int
	Neighbours          *peer.Neighbours
	Retention           retention.Policy
	Forgets             retention.Record
	Forecast            *drill.ForecastRequest
	Drill               drill.State
	changed             chan struct{}
	confirmed           chan struct{}
}

// FreshFor is how much longer the state counts as confirmed; zero if it does not.
func (s *Snapshot) FreshFor(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return 0
	}
	return max(peer.ConfirmationLease-now.Sub(s.ConfirmedAt), 0)
}

// Fresh says whether a majority confirmed the state recently enough to tell it.
func (s *Snapshot) IsFresh(now time.Time) bool { return s.FreshFor(now) > 0 }

// Publisher holds the current snapshot and wakes those who wait for the next. Any goroutine
// may call it.
type Publisher struct {
	lock    sync.Mutex
	current *Snapshot
}

// NewPublisher starts with an empty snapshot that nobody confirmed.
func NewPublisher() *Publisher {
	return &Publisher{current: &Snapshot{Version: 1, changed: make(chan struct{}), confirmed: make(chan struct{})}}
}

// Read returns the current snapshot.
func (p *Publisher) Current() *Snapshot {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.current
}

// Change makes the next snapshot under the next version and wakes waiting polls, if update
// says that it changed anything.
func (p *Publisher) Update(update func(next *Snapshot) bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	if !update(&next) {
		return
	}
	next.Version++
	next.changed = make(chan struct{})
	close(p.current.changed)
	p.current = &next
}

// Touch makes the next snapshot without waking anybody.
func (p *Publisher) UpdateQuietly(update func(next *Snapshot)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	update(&next)
	p.current = &next
}

// Confirm notes that a majority confirmed the state in answer to a question put at the time
// given. Polls are woken if the state did not count as confirmed before.
func (p *Publisher) Confirm(askedAt, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	next.ConfirmedAt = askedAt
	next.confirmed = make(chan struct{})
	close(p.current.confirmed)
	if !p.current.IsFresh(now) {
		next.Version++
		next.changed = make(chan struct{})
		close(p.current.changed)
	}
	p.current = &next
}

// News composes the answer to a poll, without the parts that the data plane follows.
func (s *Snapshot) Response(request peer.WatchRequest, member, zone, incarnation string, now time.Time) peer.WatchResponse {
	response := peer.WatchResponse{
		Member: member, Zone: zone, Incarnation: incarnation, Version: s.Version, Revision: s.Revision, ZoneVersion: s.ZoneVersion,
		RosterAgeMs: now.Sub(s.RosterAsOf).Milliseconds(), LeaseHolder: s.LeaseHolder, ControlPlanes: s.ControlPlanes,
	}
	response.FreshMs = s.FreshFor(now).Milliseconds()
	if response.FreshMs == 0 {
		return response
	}
	response.DataPlaneCount, response.EarlyDataPlaneCount = s.DataPlaneCount, s.EarlyDataPlaneCount
	if request.Primary && s.Neighbours != nil && s.Neighbours.Version != request.NeighboursVersion {
		response.Neighbours = s.Neighbours
	}
	if s.ZoneVersion > request.ZoneVersion {
		response.Zones = s.Zones
	}
	response.Context = s.contextUpdate(request)
	response.Forecast, response.Drill = s.Forecast, s.Drill.Notice(request.Drill, now)
	if request.Primary && s.Revision > request.Revision {
		response.PackedConfiguration = s.PackedConfiguration
	}
	return response
}

func (s *Snapshot) contextUpdate(request peer.WatchRequest) *peer.ContextUpdate {
	version := s.contextVersion()
	if version <= request.ContextVersion {
		return nil
	}
	update := &peer.ContextUpdate{Version: version, MaxAgeMs: s.Retention.LifetimeMs}
	for _, item := range s.Forgets.Purges {
		update.Forgets = append(update.Forgets, peer.ForgetOrder{Number: item.Number, Scope: item.Scope})
	}
	return update
}

func (s *Snapshot) contextVersion() uint64 { return s.Retention.Version + s.Forgets.Number }

// Answers says whether the poll need not be held: there is something that it was not told.
func (s *Snapshot) HasUpdateFor(request peer.WatchRequest, incarnation string, now time.Time) bool {
	fresh := s.IsFresh(now)
	if fresh && s.contextVersion() > request.ContextVersion {
		return true
	}
	if request.Incarnation != incarnation || request.Version != s.Version {
		return true
	}
	return request.Primary && fresh && s.Revision > request.Revision
}
