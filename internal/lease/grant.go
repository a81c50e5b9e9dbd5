package lease

import "time"

// Grant is one period for which the lease was granted to this process. All times are readings of the holder's monotonic
// clock. A Grant is immutable: Manager.Renew returns a new one.
type Grant struct {
	// Record is the record that was written with the grant. Its reservation is that of the previous grant.
	Record Record
	// GrantedAt is when the grant was received; the previous holder's last action precedes it.
	GrantedAt time.Time
	// ExpiresAt is the time from which the grant is no longer valid.
	ExpiresAt time.Time
	// EffectiveFrom is the time from which the holder may act. Before it, the previous holder's grant may still be valid,
	// and both could act at once.
	EffectiveFrom time.Time
	// ContinuesFence is the fencing token of this Manager's previous grant, or 0 if there was none or the lease has since
	// been granted to another control plane or to another incarnation of this one.
	ContinuesFence uint64
}

// Allows reports whether the holder may start an action at now that takes up to the given duration. A nil Grant allows
// nothing.
func (g *Grant) Allows(now time.Time, duration time.Duration) bool {
	return g != nil && !now.Before(g.EffectiveFrom) && now.Add(duration).Before(g.ExpiresAt)
}

// SameAs reports whether both are the same grant, regardless of renewals. Two nil grants are the same.
func (g *Grant) SameAs(other *Grant) bool {
	if g == nil || other == nil {
		return g == other
	}
	return g.Record.Fence == other.Record.Fence && g.Record.sameHolder(other.Record)
}

// FollowsOwnRestart reports whether the previous holder was an earlier incarnation of this control plane. All writes and
// actions of that incarnation precede the start of this process.
func (g *Grant) FollowsOwnRestart() bool {
	return !g.IsFirst() && g.ContinuesFence == 0 && !g.Record.TakeoverPending
}

// IsFirst reports whether nobody has held the lease before.
func (g *Grant) IsFirst() bool { return g.Record.Fence == 1 }
