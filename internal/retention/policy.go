package retention

import (
	"time"

	"ferryspar/internal/apierror"
)

// MinLifetime is the shortest lifetime that can be set.
const MinLifetime = time.Minute

// Policy limits the lifetime of cached context.
type Policy struct {
	// Version increases with each change.
	Version uint64 `json:"number"`
	// LifetimeMs is the maximum lifetime in milliseconds; 0 means no limit.
	LifetimeMs int64 `json:"lifeMs"`
}

// Lifetime returns the lifetime as a duration.
func (p Policy) Lifetime() time.Duration { return time.Duration(p.LifetimeMs) * time.Millisecond }

// Check returns an error of kind apierror.InvalidRetention if the lifetime is too short.
func (p Policy) Check() error {
	if p.LifetimeMs < 0 || p.LifetimeMs > 0 && p.Lifetime() < MinLifetime {
		return apierror.New(
			apierror.InvalidRetention,
			"lifeMs must be 0 (no bound) or at least %d",
			MinLifetime.Milliseconds(),
		)
	}
	return nil
}
