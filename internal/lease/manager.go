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

// logKeyLease is the log field that names the lease.
const logKeyLease = "lease"

// ErrSuperseded is returned by Manager.Reserve for a grant that is no longer the latest one.
var ErrSuperseded = errors.New("superseded by a later grant")

// ErrUnreadableRecord is returned by Manager.Acquire if this release cannot decode the lease's record. Treating such a lease
// as new would restart the fencing tokens at 1, and replicas would obey an older holder.
var ErrUnreadableRecord = errors.New("the lease's record cannot be read")

// errExpired is logged as the cause if a lease expired between two renewals.
var errExpired = errors.New("the lease expired before it was renewed")

// Store is the part of the keystore that a Manager needs.
type Store interface {
	// Acquire takes ownership of a key with a higher proposal number and writes what decide returns for the value found.
	Acquire(ctx context.Context, name string, decide func(current keystore.Register) json.RawMessage) (keystore.Register, error)
	// Update writes the key if this process still owns it.
	Update(ctx context.Context, name string, decide keystore.ChangeFunc) error
	// Renew returns nil if a majority confirms that this process still owns the key.
	Renew(ctx context.Context, name string) error
	// Release gives up the ownership of the key.
	Release(ctx context.Context, name string) error
}

// Manager acquires and renews one lease for this process. The exported fields must be set before the first call. Acquire must
// not be called concurrently with itself; the other methods may be called at any time.
type Manager struct {
	// Key is the keystore key of the lease.
	Key string
	// Holder and Address are written to the record as the holder's name and address.
	Holder  string
	Address string
	// TTL is the duration of a grant, measured from before the request to the majority. Measured from the response, the
	// lease would expire later for the holder than for the members that granted it.
	TTL time.Duration
	// TakeoverDelay is how long a new holder waits before it acts if another control plane held the lease before. It must
	// be at least the TTL; otherwise two holders can act at once.
	TakeoverDelay time.Duration
	Store         Store
	// Clock returns readings of the monotonic clock.
	Clock func() time.Time

	// lastFence is the fencing token of the last grant, 0 before the first.
	lastFence uint64
	// highestProposedFence is the highest fencing token that this process has proposed. A record with a higher one was
	// written by another process.
	highestProposedFence uint64
	// lastEffectiveFrom is the EffectiveFrom of the last grant.
	lastEffectiveFrom time.Time
	// interrupted is set if a record of another holder, or of another incarnation of this one, was found since the last
	// grant.
	interrupted bool
}

// Acquire acquires the lease with the next fencing token. The caller must act only as far as the returned Grant allows. An
// error means that no majority is known to have granted the lease. It wraps ErrUnreadableRecord if the existing record cannot
// be decoded; the record is then left unchanged.
func (m *Manager) Acquire(ctx context.Context) (*Grant, error) {
	requestedAt := m.Clock()
	var record Record
	var unreadable error
	_, err := m.Store.Acquire(ctx, m.Key, func(current keystore.Register) json.RawMessage {
		var last Record
		if last, unreadable = decodeRecord(current.Value); unreadable != nil {
			return current.Value
		}
		record = m.propose(last)
		value, _ := json.Marshal(record)
		return value
	})
	if err != nil {
		return nil, err
	}
	if unreadable != nil {
		return nil, m.refuse(ctx, unreadable)
	}
	grant := m.adopt(record, requestedAt, m.Clock())
	logrus.WithFields(logrus.Fields{logKeyLease: m.Key, "fence": record.Fence}).Info("lease acquired")
	return grant, nil
}

// refuse releases the ownership of a lease whose record cannot be decoded, and returns the error for Acquire.
func (m *Manager) refuse(ctx context.Context, cause error) error {
	err := errors.WithMessagef(ErrUnreadableRecord, "lease %q: %s", m.Key, cause)
	logrus.WithError(err).WithField(logKeyLease, m.Key).Error("lease not acquired: its record cannot be read")
	if releaseErr := m.Store.Release(ctx, m.Key); releaseErr != nil {
		logrus.WithError(releaseErr).WithField(logKeyLease, m.Key).Debug("lease with unreadable record not released")
	}
	return err
}

// decodeRecord decodes the value of a lease's key. An empty value is a lease that was never held; any other must have a
// fencing token.
func decodeRecord(value json.RawMessage) (Record, error) {
	var record Record
	if len(value) == 0 {
		return record, nil
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return record, errors.Wrap(err, "decode lease record")
	}
	if record.Fence == 0 {
		return record, errors.New("lease record has no fence")
	}
	return record, nil
}

// propose returns the record that replaces the existing one. The store may call it several times for one Acquire, with the
// record found each time.
func (m *Manager) propose(last Record) Record {
	record := m.nextRecord(last)
	if !record.sameHolder(last) || last.Fence < m.lastFence || last.Fence > m.highestProposedFence {
		m.interrupted = true
	}
	m.highestProposedFence = record.Fence
	return record
}

// nextRecord returns the record of this holder's next grant. The reservation is carried over, because the usage that it
// bounds outlives the grant. The first grant of a lease starts with an empty one.
func (m *Manager) nextRecord(last Record) Record {
	record := Record{
		Holder:   m.Holder,
		Address:  m.Address,
		Fence:    last.Fence + 1,
		Reserved: last.Reserved,
	}
	if last.Fence == 0 {
		record.Reserved = new(loadbudget.Reservation)
		return record
	}
	record.TakeoverPending = last.TakeoverPending || !record.sameHolder(last)
	return record
}

// adopt returns the grant for a record that a majority has accepted, and stores it as the last grant of this process.
func (m *Manager) adopt(record Record, requestedAt, now time.Time) *Grant {
	grant := &Grant{
		Record:        record,
		GrantedAt:     now,
		ExpiresAt:     requestedAt.Add(m.TTL),
		EffectiveFrom: now,
	}
	if !m.interrupted {
		grant.ContinuesFence = m.lastFence
	}
	if record.TakeoverPending {
		grant.EffectiveFrom = m.takeoverEndsAt(grant.ContinuesFence, now)
	}
	m.lastFence = record.Fence
	m.interrupted = false
	m.lastEffectiveFrom = grant.EffectiveFrom
	return grant
}

// takeoverEndsAt returns the time by which the lease of any earlier holder has certainly expired. If the grant continues the
// last one of this process, the takeover delay of that one still counts and does not begin again.
func (m *Manager) takeoverEndsAt(continuesFence uint64, now time.Time) time.Time {
	if continuesFence == 0 {
		return now.Add(m.TakeoverDelay)
	}
	if m.lastEffectiveFrom.After(now) {
		return m.lastEffectiveFrom
	}
	return now
}

// Reserve writes a reservation to the record of a grant. It returns an error that wraps ErrSuperseded if the lease was
// granted again since. After any other error, the next holder may find this reservation or an earlier one.
func (m *Manager) Reserve(ctx context.Context, grant *Grant, reserved loadbudget.Reservation) error {
	return m.Store.Update(ctx, m.Key, func(current keystore.Register) (json.RawMessage, error) {
		var last Record
		if err := json.Unmarshal(current.Value, &last); err != nil {
			return nil, errors.Wrapf(err, "decode record of lease %q", m.Key)
		}
		if !last.sameHolder(grant.Record) || last.Fence != grant.Record.Fence {
			return nil, errors.Wrapf(ErrSuperseded, "lease %q, fence %d", m.Key, grant.Record.Fence)
		}
		last.Reserved = &reserved
		if !m.Clock().Before(grant.EffectiveFrom) {
			last.TakeoverPending = false
		}
		return json.Marshal(last)
	})
}

// Renew extends a grant by the TTL, measured from before the request. It returns the grant unchanged if no majority responded
// but the grant is still valid, and nil once the lease is lost.
func (m *Manager) Renew(ctx context.Context, grant *Grant) *Grant {
	requestedAt := m.Clock()
	if !requestedAt.Before(grant.ExpiresAt) {
		m.logLoss(errExpired)
		return nil
	}
	if err := m.Store.Renew(ctx, m.Key); err != nil {
		if m.Clock().Before(grant.ExpiresAt) {
			return grant
		}
		m.logLoss(err)
		return nil
	}
	renewed := *grant
	renewed.ExpiresAt = requestedAt.Add(m.TTL)
	return &renewed
}

func (m *Manager) logLoss(cause error) {
	logrus.WithError(cause).WithField(logKeyLease, m.Key).Warn("lease lost")
}

// Release releases the lease, so that the next holder need not wait until it expires. The holder must have completed its last
// action under the lease.
func (m *Manager) Release(ctx context.Context) error { return m.Store.Release(ctx, m.Key) }
