package demand

import (
	"time"

	"ferryspar/internal/usage"
)

// UsageRelay keeps the counts of tenants' requests that data planes report here, and passes them on to the holder of the placement
// lease. A nil UsageRelay does nothing: no counts are wanted.
type UsageRelay struct {
	// Ledger holds the counts.
	Ledger  *usage.Ledger
	Windows usage.Windows
	// Retention is for how long after its end a window is kept.
	Retention time.Duration
	// TimeOfDay is the time of day on which the control planes agree, at a reading of the steady clock, or false.
	TimeOfDay func(now time.Time) (time.Time, bool)

	delivery usage.Delivery
}

func (u *UsageRelay) merge(entries []usage.Entry) {
	if u != nil {
		u.Ledger.Merge(entries)
	}
}

// next is what the lease holder is not known to have.
func (u *UsageRelay) next() usage.Batch {
	if u == nil {
		return usage.Batch{}
	}
	return u.delivery.Next(u.Ledger)
}

// acknowledge records that the lease holder, of an incarnation, has taken in a batch.
func (u *UsageRelay) acknowledge(receiver string, batch usage.Batch) {
	if u != nil {
		u.delivery.Acknowledge(receiver, batch)
	}
}

// forget drops windows that have long been reported.
func (u *UsageRelay) forget(now time.Time) {
	if u == nil {
		return
	}
	if timeOfDay, known := u.TimeOfDay(now); known {
		u.Ledger.DropBefore(u.Windows.At(timeOfDay.Add(-u.Retention)))
	}
}

// timeOfDayUs is what data planes are told of the time of day, 0 if that is not known or not wanted.
func (u *UsageRelay) timeOfDayUs(now time.Time) int64 {
	if u == nil {
		return 0
	}
	timeOfDay, known := u.TimeOfDay(now)
	if !known {
		return 0
	}
	return timeOfDay.UnixMicro()
}
