package dataplane

import (
	"crypto/rand"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/usage"
	"ferryspar/internal/wallclock"
)

// usageRetention is how long a window is kept after its report is due, so that it can be reported again if the control-plane node
// that received it is lost.
const usageRetention = 30 * time.Second

// usageCounter counts, per tenant, the requests that replicas began to execute for this incarnation of the data plane. It is safe
// for concurrent use. A nil usageCounter reports nothing.
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

// incarnationLength is the length of an incarnation's name: 12 base32 characters hold 60 random bits.
const incarnationLength = 12

// RecordRequest implements proxy.UsageCounter.
func (u *usageCounter) RecordRequest(tenant string) {
	u.ledger.Add(u.incarnation, u.windows.At(u.timeOfDay.Now(u.clock())), tenant)
}

// nextBatch returns the counts that the control plane has not acknowledged.
func (u *usageCounter) nextBatch() usage.Batch {
	if u == nil {
		return usage.Batch{}
	}
	if u.timeOfDay.IsSet() {
		u.ledger.DropBefore(u.windows.At(u.timeOfDay.Now(u.clock()).Add(-u.retention)))
	}
	return u.delivery.Next(u.ledger)
}

// handleReply handles the reply to a load report that carried the batch.
func (u *usageCounter) handleReply(batch usage.Batch, reply peer.FleetLoad) {
	if u == nil {
		return
	}
	u.delivery.Acknowledge(reply.Receiver, batch)
	if reply.TimeOfDayUs > 0 {
		u.timeOfDay.Follow(time.UnixMicro(reply.TimeOfDayUs), u.clock())
	}
}

// knowsTimeOfDay reports whether a control plane has sent the time of day, or usage is not counted.
func (u *usageCounter) knowsTimeOfDay() bool { return u == nil || u.timeOfDay.IsSet() }
