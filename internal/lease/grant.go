package lease

import "time"

// Grant is a lease as it was granted to this process. All times are readings of the holder's monotonic
// clock. A Grant is immutable: Manager.Renew returns a new one.
type Grant struct {
	// Record is the record that was written with the grant. Its reservation is that of the grant before.
	Record Record
	// GrantedAt is when the grant was received; the predecessor's last action came before it.
	GrantedAt time.Time
	// ExpiresAt is the first moment at which the grant is no longer valid.
	ExpiresAt time.Time
	// EffectiveFrom is the first moment at which the holder may act. Acting earlier may overlap with the
	// predecessor, whose own grant has surely expired only by then.
	EffectiveFrom time.Time
	// ContinuesFence is the fence of the previous grant of the same Manager if nobody else, and no other
	// incarnation of this control plane, was granted the lease since, and 0 otherwise.
	ContinuesFence uint64
}

// Allows reports whether the holder may start at now an action that takes up to the given duration. A nil
// Grant allows nothing.
func (g *Grant) Allows(now time.Time, duration time.Duration) bool {
	return g != nil && !now.Before(g.EffectiveFrom) && now.Add(duration).Before(g.ExpiresAt)
}

// SameAs reports whether both are the same grant, renewed or not. Two nil grants are the same.
func (g *Grant) SameAs(other *Grant) bool {
	if g == nil || other == nil {
		return g == other
	}
	return g.Record.Fence == other.Record.Fence && g.Record.sameHolder(other.Record)
}

// FollowsOwnRestart reports whether the previous holder was an earlier incarnation of this control plane, all of
// whose writes and actions came before this process started.
func (g *Grant) FollowsOwnRestart() bool {
	return !g.IsFirst() && g.ContinuesFence == 0 && !g.Record.TakeoverPending
}

// IsFirst reports whether nobody has held the lease before.
func (g *Grant) IsFirst() bool { return g.Record.Fence == 1 }
