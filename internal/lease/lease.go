// Package lease holds a duty that only one daemon may do at a time, by a lease that a majority of
// the key store grants.
//
// It never measures time by the time of day, never extends a lease that has run out, and says
// nothing about who does the duty next: a lease that isn't renewed is simply taken by another.
// Start reading at Lease.Seize.
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
	Holder   string                  `json:"holder"`
	Address  string                  `json:"address"`
	Fence    uint64                  `json:"fence"`
	Reserved *loadbudget.Reservation `json:"reserved,omitempty"`
	Settling bool                    `json:"settling,omitempty"`
}

// sameHolder says whether two records name one daemon, in this life or another.
func (r Record) sameHolder(other Record) bool {
	return r.Holder == other.Holder && r.Address == other.Address
}

// Store is the part of the key store that a lease needs. Seize takes a key by a higher epoch and
// writes what decide returns for the value found; Rewrite writes it again under the same epoch; Renew
// asks a majority whether this daemon still owns the key.
type Store interface {
	Seize(ctx context.Context, name string, decide func(current keystore.Slot) json.RawMessage) (keystore.Slot, error)
	Rewrite(ctx context.Context, name string, decide keystore.Decide) error
	Renew(ctx context.Context, name string) error
	Release(ctx context.Context, name string) error
}

// Grant is a lease that was granted. It is valid until Until on the holder's steady clock; ActsFrom
// is the first moment at which the holder may act, after the lease of its predecessor has surely run
// out. The predecessor's last act was before Since. The record's reservation is that of the record
// before it. Continues is the fence of the last grant of this Lease if no other holder, and no other
// life of this one, was granted the lease since, and 0 otherwise.
type Grant struct {
	Record    Record
	Since     time.Time
	Until     time.Time
	ActsFrom  time.Time
	Continues uint64
}

// Allows tells whether the holder may start something at now that takes the time needs. A nil Hold
// allows nothing.
func (h *Grant) Allows(now time.Time, needs time.Duration) bool {
	return h != nil && !now.Before(h.ActsFrom) && now.Add(needs).Before(h.Until)
}

// SameAs tells whether both are the same grant, renewed or not. Two that are nil are the same.
func (h *Grant) SameAs(other *Grant) bool {
	if h == nil || other == nil {
		return h == other
	}
	return h.Record.Fence == other.Record.Fence && h.Record.sameHolder(other.Record)
}

// First tells whether nobody has held the lease before.
func (h *Grant) First() bool { return h.Record.Fence == 1 }

// Lease describes one duty. Length is how long a grant lasts from before the question to the
// majority, Settle how long a new holder waits before it acts when another held the lease before
// it.
type Lease struct {
	Key     string
	Holder  string
	Address string
	Length  time.Duration
	Settle  time.Duration
	Store   Store
	Clock   func() time.Time

	// granted is the fence of the last grant, 0 before the first; proposed is the highest one that
	// was asked for.
	granted, proposed uint64
	// actsFrom is the ActsFrom of the last grant.
	actsFrom time.Time
	// interrupted is set once a record of another holder, or of another life, was seen since.
	interrupted bool
}

// errNotGranted refuses to write under a grant that is no longer the last one.
var errNotGranted = errors.New("the lease was granted anew")

// Acquire takes the lease with the next fence. The caller must keep to the returned Grant; an error
// means that no majority granted it. Calls of Acquire must follow each other.
func (t *Lease) Acquire(ctx context.Context) (*Grant, error) {
	began := t.Clock()
	var record Record
	_, err := t.Store.Seize(ctx, t.Key, func(current keystore.Slot) json.RawMessage {
		var last Record
		_ = json.Unmarshal(current.Value, &last)
		record = t.following(last)
		t.interrupted = t.interrupted || !record.sameHolder(last) || last.Fence < t.granted || last.Fence > t.proposed
		t.proposed = record.Fence
		value, _ := json.Marshal(record)
		return value
	})
	if err != nil {
		return nil, err
	}
	now := t.Clock()
	hold := &Grant{Record: record, Since: now, Until: began.Add(t.Length), ActsFrom: now}
	if !t.interrupted {
		hold.Continues = t.granted
	}
	if record.Settling {
		hold.ActsFrom = t.settled(hold.Continues, now)
	}
	t.granted, t.interrupted, t.actsFrom = record.Fence, false, hold.ActsFrom
	logrus.WithFields(logrus.Fields{"tenure": t.Key, "fence": record.Fence}).Info("lease taken")
	return hold, nil
}

// settled is when the lease of another holder before has surely run out. A grant that follows one of
// the same life ends the wait that began with that one.
func (t *Lease) settled(continues uint64, now time.Time) time.Time {
	if continues == 0 {
		return now.Add(t.Settle)
	}
	if t.actsFrom.After(now) {
		return t.actsFrom
	}
	return now
}

// following is the record of this holder's next grant. The reservation is carried over; the very
// first grant has nothing to carry.
func (t *Lease) following(last Record) Record {
	record := Record{Holder: t.Holder, Address: t.Address, Fence: last.Fence + 1, Reserved: last.Reserved}
	if last.Fence == 0 {
		record.Reserved = new(loadbudget.Reservation)
		return record
	}
	record.Settling = last.Settling || !record.sameHolder(last)
	return record
}

// Reserve writes a reservation into the record of a grant. After an error a successor may find this
// reservation or an earlier one.
func (t *Lease) Reserve(ctx context.Context, hold *Grant, reserved loadbudget.Reservation) error {
	return t.Store.Rewrite(ctx, t.Key, func(current keystore.Slot) (json.RawMessage, error) {
		var last Record
		if err := json.Unmarshal(current.Value, &last); err != nil {
			return nil, err
		}
		if !last.sameHolder(hold.Record) || last.Fence != hold.Record.Fence {
			return nil, errNotGranted
		}
		last.Reserved = &reserved
		last.Settling = last.Settling && t.Clock().Before(hold.ActsFrom)
		return json.Marshal(last)
	})
}

// Renew extends hold from the moment before the question. It returns the old hold while that still
// runs and no majority answered, and nil once the lease is lost.
func (t *Lease) Renew(ctx context.Context, hold *Grant) *Grant {
	began := t.Clock()
	if !began.Before(hold.Until) {
		return nil
	}
	if t.Store.Renew(ctx, t.Key) != nil {
		if t.Clock().Before(hold.Until) {
			return hold
		}
		logrus.WithField("tenure", t.Key).Warn("lease lost")
		return nil
	}
	renewed := *hold
	renewed.Until = began.Add(t.Length)
	return &renewed
}

// Release ends the lease early, so that a successor need not wait for its end. The holder must
// have ended its last act under it.
func (t *Lease) Release(ctx context.Context) error { return t.Store.Release(ctx, t.Key) }
