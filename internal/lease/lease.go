// Package lease holds a duty that only one daemon may do at a time, by a lease that a majority of
// the key store grants.
//
// It never measures time by the time of day, never extends a lease that has run out, and says
// nothing about who does the duty next: a lease that isn't renewed is simply taken by another.
// Start reading at Manager.Seize.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/loadbudget"
)

// Record is what the key store keeps of a lease: its holder, where to reach it, the fence, a number
// that rises with each grant, and the reservation: an upper bound of what the holder may have used
// of a budget that outlives its grant. Reserved is nil in records of holders that reserved nothing
// because they knew of no reservations; what those used is unknown. Settling is set until the
// holder has written after the lease of another holder before it has surely run out.
type Record struct {
	Holder          string                  `json:"holder"`
	Address         string                  `json:"address"`
	Fence           uint64                  `json:"fence"`
	Reserved        *loadbudget.Reservation `json:"reserved,omitempty"`
	TakeoverPending bool                    `json:"settling,omitempty"`
}

// sameHolder says whether two records name one daemon, in this life or another.
func (r Record) sameHolder(other Record) bool {
	return r.Holder == other.Holder && r.Address == other.Address
}

// Store is the part of the key store that a lease needs. Seize takes a key by a higher epoch and
// writes what decide returns for the value found; Rewrite writes it again under the same epoch; Renew
// asks a majority whether this daemon still owns the key.
type Store interface {
	Acquire(ctx context.Context, name string, decide func(current keystore.Register) json.RawMessage) (keystore.Register, error)
	Update(ctx context.Context, name string, decide keystore.Decide) error
	Renew(ctx context.Context, name string) error
	Release(ctx context.Context, name string) error
}

// Grant is a lease that was granted. It is valid until Until on the holder's steady clock; EffectiveFrom
// is the first moment at which the holder may act, after the lease of its predecessor has surely run
// out. The predecessor's last act was before Since. The record's reservation is that of the record
// before it. Continues is the fence of the last grant of this Manager if no other holder, and no other
// life of this one, was granted the lease since, and 0 otherwise.
type Grant struct {
	Record         Record
	GrantedAt      time.Time
	ExpiresAt      time.Time
	EffectiveFrom  time.Time
	ContinuesFence uint64
}

// Allows tells whether the holder may start something at now that takes the time needs. A nil Hold
// allows nothing.
func (g *Grant) Allows(now time.Time, duration time.Duration) bool {
	return g != nil && !now.Before(g.EffectiveFrom) && now.Add(duration).Before(g.ExpiresAt)
}

// SameAs tells whether both are the same grant, renewed or not. Two that are nil are the same.
func (g *Grant) SameAs(other *Grant) bool {
	if g == nil || other == nil {
		return g == other
	}
	return g.Record.Fence == other.Record.Fence && g.Record.sameHolder(other.Record)
}

// FollowsOwnRestart tells whether the holder before was this daemon in an earlier life, all of whose writes and acts came
// before this life began.
func (g *Grant) FollowsOwnRestart() bool {
	return !g.IsFirst() && g.ContinuesFence == 0 && !g.Record.TakeoverPending
}

// First tells whether nobody has held the lease before.
func (g *Grant) IsFirst() bool { return g.Record.Fence == 1 }

// Manager describes one duty. Length is how long a grant lasts from before the question to the
// majority, Settle how long a new holder waits before it acts when another held the lease before
// it.
type Manager struct {
	Key           string
	Holder        string
	Address       string
	TTL           time.Duration
	TakeoverDelay time.Duration
	Store         Store
	Clock         func() time.Time

	// granted is the fence of the last grant, 0 before the first; proposed is the highest one that
	// was asked for.
	lastFence, highestProposedFence uint64
	// lastEffectiveFrom is the EffectiveFrom of the last grant.
	lastEffectiveFrom time.Time
	// interrupted is set once a record of another holder, or of another life, was seen since.
	interrupted bool
}

// errGrantSuperseded refuses to write under a grant that is no longer the last one.
var errGrantSuperseded = errors.New("the lease was granted anew")

// Acquire takes the lease with the next fence. The caller must keep to the returned Grant; an error
// means that no majority granted it. Calls of Acquire must follow each other.
func (m *Manager) Acquire(ctx context.Context) (*Grant, error) {
	requestedAt := m.Clock()
	var record Record
	_, err := m.Store.Acquire(ctx, m.Key, func(current keystore.Register) json.RawMessage {
		var last Record
		_ = json.Unmarshal(current.Value, &last)
		record = m.nextRecord(last)
		m.interrupted = m.interrupted || !record.sameHolder(last) || last.Fence < m.lastFence || last.Fence > m.highestProposedFence
		m.highestProposedFence = record.Fence
		value, _ := json.Marshal(record)
		return value
	})
	if err != nil {
		return nil, err
	}
	now := m.Clock()
	grant := &Grant{Record: record, GrantedAt: now, ExpiresAt: requestedAt.Add(m.TTL), EffectiveFrom: now}
	if !m.interrupted {
		grant.ContinuesFence = m.lastFence
	}
	if record.TakeoverPending {
		grant.EffectiveFrom = m.takeoverEndsAt(grant.ContinuesFence, now)
	}
	m.lastFence, m.interrupted, m.lastEffectiveFrom = record.Fence, false, grant.EffectiveFrom
	logrus.WithFields(logrus.Fields{"tenure": m.Key, "fence": record.Fence}).Info("lease taken")
	return grant, nil
}

// settled is when the lease of another holder before has surely run out. A grant that follows one of
// the same life ends the wait that began with that one.
func (m *Manager) takeoverEndsAt(continuesFence uint64, now time.Time) time.Time {
	if continuesFence == 0 {
		return now.Add(m.TakeoverDelay)
	}
	if m.lastEffectiveFrom.After(now) {
		return m.lastEffectiveFrom
	}
	return now
}

// following is the record of this holder's next grant. The reservation is carried over; the very
// first grant has nothing to carry.
func (m *Manager) nextRecord(last Record) Record {
	record := Record{Holder: m.Holder, Address: m.Address, Fence: last.Fence + 1, Reserved: last.Reserved}
	if last.Fence == 0 {
		record.Reserved = new(loadbudget.Reservation)
		return record
	}
	record.TakeoverPending = last.TakeoverPending || !record.sameHolder(last)
	return record
}

// Reserve writes a reservation into the record of a grant. After an error a successor may find this
// reservation or an earlier one.
func (m *Manager) Reserve(ctx context.Context, grant *Grant, reserved loadbudget.Reservation) error {
	return m.Store.Update(ctx, m.Key, func(current keystore.Register) (json.RawMessage, error) {
		var last Record
		if err := json.Unmarshal(current.Value, &last); err != nil {
			return nil, err
		}
		if !last.sameHolder(grant.Record) || last.Fence != grant.Record.Fence {
			return nil, errGrantSuperseded
		}
		last.Reserved = &reserved
		last.TakeoverPending = last.TakeoverPending && m.Clock().Before(grant.EffectiveFrom)
		return json.Marshal(last)
	})
}

// Renew extends hold from the moment before the question. It returns the old hold while that still
// runs and no majority answered, and nil once the lease is lost.
func (m *Manager) Renew(ctx context.Context, grant *Grant) *Grant {
	requestedAt := m.Clock()
	if !requestedAt.Before(grant.ExpiresAt) {
		return nil
	}
	if m.Store.Renew(ctx, m.Key) != nil {
		if m.Clock().Before(grant.ExpiresAt) {
			return grant
		}
		logrus.WithField("tenure", m.Key).Warn("lease lost")
		return nil
	}
	renewed := *grant
	renewed.ExpiresAt = requestedAt.Add(m.TTL)
	return &renewed
}

// Release ends the lease early, so that a successor need not wait for its end. The holder must
// have ended its last act under it.
func (m *Manager) Release(ctx context.Context) error { return m.Store.Release(ctx, m.Key) }
