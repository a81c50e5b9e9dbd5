package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
	"ferryspar/internal/retention"
)

// Snapshot is what a control plane tells data planes. A snapshot is never changed; the
// publisher swaps in the next one whole.
type Snapshot struct {
	Version uint64
	// ConfirmedAt is a moment, by the steady clock, at or before which a majority of members
	// confirmed that nothing newer than this state was in force.
	ConfirmedAt time.Time
	Revision    int64
	Packed      []byte
	Zones       map[string]peer.ZoneState
	ZoneNumber  uint64
	Roster      uint64
	RosterAt    time.Time
	Replicas    []platform.Replica
	Barred      []string
	Holder      string
	Control     []string
	Edges       int
	Present     int
	Neighbours  *peer.Neighbours
	Policy      retention.Policy
	Forgets     retention.Record
	Question    *drill.Question
	Drill       drillView
	changed     chan struct{}
	confirmed   chan struct{}
}

// FreshFor is how much longer the state counts as confirmed; zero if it does not.
func (s *Snapshot) FreshFor(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return 0
	}
	return max(peer.ConfirmationLease-now.Sub(s.ConfirmedAt), 0)
}

// Fresh says whether a majority confirmed the state recently enough to tell it.
func (s *Snapshot) Fresh(now time.Time) bool { return s.FreshFor(now) > 0 }

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
func (p *Publisher) Read() *Snapshot {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.current
}

// Change makes the next snapshot under the next version and wakes waiting polls, if update
// says that it changed anything.
func (p *Publisher) Change(update func(next *Snapshot) bool) {
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
func (p *Publisher) Touch(update func(next *Snapshot)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	update(&next)
	p.current = &next
}

// Confirm notes that a majority confirmed the state in answer to a question put at the time
// given. Polls are woken if the state did not count as confirmed before.
func (p *Publisher) Confirm(asked, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	next.ConfirmedAt = asked
	next.confirmed = make(chan struct{})
	close(p.current.confirmed)
	if !p.current.Fresh(now) {
		next.Version++
		next.changed = make(chan struct{})
		close(p.current.changed)
	}
	p.current = &next
}

// News composes the answer to a poll, without the parts that the data plane follows.
func (s *Snapshot) News(poll peer.Poll, member, zone, life string, now time.Time) peer.News {
	news := peer.News{
		Member: member, Zone: zone, Life: life, Version: s.Version, Revision: s.Revision, ZoneNumber: s.ZoneNumber,
		RosterAge: now.Sub(s.RosterAt).Milliseconds(), Holder: s.Holder, Control: s.Control,
	}
	news.FreshMs = s.FreshFor(now).Milliseconds()
	if news.FreshMs == 0 {
		return news
	}
	news.Edges, news.Present = s.Edges, s.Present
	if poll.Wants && s.Neighbours != nil && s.Neighbours.Mark != poll.Neighbours {
		news.Neighbours = s.Neighbours
	}
	if s.ZoneNumber > poll.ZoneNumber {
		news.Zones = s.Zones
	}
	news.Context = s.contextNews(poll)
	news.Question, news.Drill = s.Question, s.Drill.notice(poll.Drill, now)
	if poll.Wants && s.Revision > poll.Revision {
		news.Packed = s.Packed
	}
	return news
}

func (s *Snapshot) contextNews(poll peer.Poll) *peer.ContextNews {
	number := s.context()
	if number <= poll.Context {
		return nil
	}
	told := &peer.ContextNews{Number: number, LifeMs: s.Policy.LifetimeMs}
	for _, item := range s.Forgets.Purges {
		told.Forgets = append(told.Forgets, peer.Forget{Number: item.Number, Scope: item.Scope})
	}
	return told
}

func (s *Snapshot) context() uint64 { return s.Policy.Version + s.Forgets.Number }

// Answers says whether the poll need not be held: there is something that it was not told.
func (s *Snapshot) Answers(poll peer.Poll, life string, now time.Time) bool {
	fresh := s.Fresh(now)
	if fresh && s.context() > poll.Context {
		return true
	}
	if poll.Life != life || poll.Version != s.Version {
		return true
	}
	return poll.Wants && fresh && s.Revision > poll.Revision
}
