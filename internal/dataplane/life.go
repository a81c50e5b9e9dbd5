package dataplane

import (
	"time"

	"ferryspar/internal/nodesettings"
)

// incarnationStart is when this life of the daemon begins: now, or zero at the first start of the whole system,
// before which there was none.
func incarnationStart(settings nodesettings.Settings) time.Time {
	if settings.Bootstrap {
		return time.Time{}
	}
	return time.Now()
}
