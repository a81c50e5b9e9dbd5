package demand

import (
	"time"

	"ferryspar/internal/usage"
)

// UsageRelay keeps the counts of tenants' requests that data planes report to this control plane, and relays them to the holder of
// the placement lease. A nil UsageRelay does nothing; it stands for a control plane on which no counts are wanted.
type UsageRelay struct {
	Ledger  *usage.Ledger
	Windows usage.Windows
	// Retention is how long a window is kept after its end.
	Retention time.Duration
	// TimeOfDay returns the time of day that the control planes have agreed on, at a reading of the monotonic clock, or false if
	// there is none.
	TimeOfDay func(now time.Time) (time.Time, bool)

	delivery usage.Delivery
}

func (u *UsageRelay) merge(entries []usage.Entry) {
	if u != nil {
		u.Ledger.Merge(entries)
	}
}

// nextBatch returns the entries that the lease holder hasn't acknowledged.
func (u *UsageRelay) nextBatch() usage.Batch {
	if u == nil {
		return usage.Batch{}
	}
	return u.delivery.Next(u.Ledger)
}

// acknowledge records that the lease holder has received a batch. The receiver is the lease holder's incarnation.
func (u *UsageRelay) acknowledge(receiver string, batch usage.Batch) {
	if u != nil {
		u.delivery.Acknowledge(receiver, batch)
	}
}

// dropExpired drops windows that ended longer than Retention ago.
func (u *UsageRelay) dropExpired(now time.Time) {
	if u == nil {
		return
	}
	if timeOfDay, known := u.TimeOfDay(now); known {
		u.Ledger.DropBefore(u.Windows.At(timeOfDay.Add(-u.Retention)))
	}
}

// timeOfDayUs returns the time of day to be sent to data planes, in microseconds, or 0 if it is not known or not wanted.
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
