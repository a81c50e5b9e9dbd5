package dataplane

import (
	"crypto/rand"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/usage"
	"ferryspar/internal/wallclock"
)

// usageRetention is for how long after its end, beyond the time in which its report is due, a window is kept: the control plane that
// was told of it may be lost.
const usageRetention = 30 * time.Second

// usageCounter counts the requests of tenants that replicas began to run for this incarnation of the data plane. It is safe for
// concurrent use. A nil usageCounter has nothing to tell: no counts are wanted.
type usageCounter struct {
	incarnation string
	ledger      *usage.Ledger
	windows     usage.Windows
	retention   time.Duration
	timeOfDay   *wallclock.Follower
	delivery    usage.Delivery
	clock       func() time.Time
}

func newUsageCounter(settings nodesettings.Settings, clock func() time.Time) *usageCounter {
	bounds := settings.TimingBounds
	return &usageCounter{
		incarnation: rand.Text()[:incarnationLength],
		ledger:      usage.NewLedger(),
		windows:     usage.Windows{Length: nodesettings.Seconds(bounds.UsageWindowS)},
		retention:   nodesettings.Seconds(bounds.UsageDelayS) + usageRetention,
		timeOfDay:   wallclock.NewFollower(clock()),
		clock:       clock,
	}
}

// incarnationLength is the length of an incarnation's name: 12 characters have 60 random bits.
const incarnationLength = 12

// RecordRequest implements proxy.UsageCounter.
func (u *usageCounter) RecordRequest(tenant string) {
	u.ledger.Add(u.incarnation, u.windows.At(u.timeOfDay.Now(u.clock())), tenant)
}

// next is what the control plane is not known to have.
func (u *usageCounter) next() usage.Batch {
	if u == nil {
		return usage.Batch{}
	}
	if u.timeOfDay.IsSet() {
		u.ledger.DropBefore(u.windows.At(u.timeOfDay.Now(u.clock()).Add(-u.retention)))
	}
	return u.delivery.Next(u.ledger)
}

// adopt takes in the reply to a report that carried a batch.
func (u *usageCounter) adopt(batch usage.Batch, reply peer.FleetLoad) {
	if u == nil {
		return
	}
	u.delivery.Acknowledge(reply.Receiver, batch)
	if reply.TimeOfDayUs > 0 {
		u.timeOfDay.Set(time.UnixMicro(reply.TimeOfDayUs), u.clock())
	}
}

// knowsTimeOfDay says whether a control plane has told the time of day, or nobody needs it.
func (u *usageCounter) knowsTimeOfDay() bool { return u == nil || u.timeOfDay.IsSet() }
