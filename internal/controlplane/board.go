package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/partner"
	"ferryspar/internal/platform"
	"ferryspar/internal/retention"
)

type Bulletin struct {
	Version    uint64
	Fresh      bool
	Revision   int64
	Packed     []byte
	Areas      map[string]partner.AreaState
	AreaNumber uint64
	Roster     uint64
	RosterAt   time.Time
	Replicas   []platform.Replica
	Barred     []string
	Holder     string
	Control    []string
	Edges      int
	Policy     retention.Policy
	Forgets    retention.Record
	Question   *drill.Question
	Drill      drillView
	changed    chan struct{}
}

type Board struct {
	lock    sync.Mutex
	current *Bulletin
}

func NewBoard() *Board {
	return &Board{current: &Bulletin{Version: 1, changed: make(chan struct{})}}
}

func (b *Board) Read() *Bulletin {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.current
}

func (b *Board) Change(update func(next *Bulletin) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	next := *b.current
	if !update(&next) {
		return
	}
	next.Version++
	next.changed = make(chan struct{})
	close(b.current.changed)
	b.current = &next
}

func (b *Board) Touch(update func(next *Bulletin)) {
	b.lock.Lock()
	defer b.lock.Unlock()
	next := *b.current
	update(&next)
	b.current = &next
}

func (b *Bulletin) News(poll partner.Poll, member, area, life string, now time.Time) partner.News {
	news := partner.News{
		Member: member, Area: area, Life: life, Fresh: b.Fresh, Version: b.Version, Revision: b.Revision, AreaNumber: b.AreaNumber,
		RosterAge: now.Sub(b.RosterAt).Milliseconds(), Edges: b.Edges, Holder: b.Holder, Control: b.Control,
	}
	if !b.Fresh {
		return news
	}
	if b.AreaNumber > poll.AreaNumber {
		news.Areas = b.Areas
	}
	if number := b.context(); number > poll.Context {
		told := &partner.ContextNews{Number: number, LifeMs: b.Policy.LifeMs}
		for _, item := range b.Forgets.Items {
			told.Forgets = append(told.Forgets, partner.Forget{Number: item.Number, Scope: item.Scope})
		}
		news.Context = told
	}
	news.Question, news.Drill = b.Question, b.Drill.notice(poll.Drill, now)
	if !poll.Wants {
		return news
	}
	if b.Revision > poll.Revision {
		news.Packed = b.Packed
	}
	return news
}

func (b *Bulletin) context() uint64 { return b.Policy.Number + b.Forgets.Number }

func (b *Bulletin) Answers(poll partner.Poll, life string) bool {
	if b.Fresh && b.context() > poll.Context {
		return true
	}
	if poll.Life != life || poll.Version != b.Version {
		return true
	}
	return poll.Wants && b.Fresh && b.Revision > poll.Revision
}
