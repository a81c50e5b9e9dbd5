package watch

import (
	"sync"
	"time"
)

// Publisher holds the current snapshot and wakes the requests that wait for the next one. It is safe for concurrent use.
type Publisher struct {
	// lock guards current. The snapshot itself is immutable and is read without it.
	lock    sync.Mutex
	current *Snapshot
}

// NewPublisher returns a publisher with an empty, unconfirmed snapshot.
func NewPublisher() *Publisher {
	return &Publisher{current: &Snapshot{Version: 1, changed: make(chan struct{}), confirmed: make(chan struct{})}}
}

// Current returns the current snapshot.
func (p *Publisher) Current() *Snapshot {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.current
}

// Update publishes a copy of the snapshot, changed by update, under the next version, and wakes waiting requests. If
// update returns false, nothing is published. It runs under the publisher's lock and must not call the publisher; it
// may replace maps and slices of the copy, but not change them in place, as readers share them.
func (p *Publisher) Update(update func(next *Snapshot) bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	if !update(&next) {
		return
	}
	p.publishVersion(&next)
}

// UpdateWithoutNotify publishes a copy of the snapshot, changed by update, without a new version: waiting requests are not
// woken, and data planes get the change with the next response. The rules for update are those of Update.
func (p *Publisher) UpdateWithoutNotify(update func(next *Snapshot)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	update(&next)
	p.current = &next
}

// Confirm records that a majority confirmed the state in a round that began at startedAt. Requests that wait for a
// confirmation are woken, and all other waiting requests as well if the state wasn't fresh before.
func (p *Publisher) Confirm(startedAt, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	next := *p.current
	next.ConfirmedAt = startedAt
	next.confirmed = make(chan struct{})
	close(p.current.confirmed)
	if p.current.IsFresh(now) {
		p.current = &next
		return
	}
	p.publishVersion(&next)
}

// publishVersion makes next the current snapshot under the next version. The caller holds the lock.
func (p *Publisher) publishVersion(next *Snapshot) {
	next.Version++
	next.changed = make(chan struct{})
	close(p.current.changed)
	p.current = next
}
