package scheduler

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/placement"
)

// starvationLogInterval is both the minimum interval between logs of a starving model and the wait from which a model counts
// as starving.
const starvationLogInterval = 2 * time.Second

// logStarvingModel logs a model that requests have been waiting for too long, together with the state of every replica. If
// there are several such models, an arbitrary one is logged.
func (s *Scheduler) logStarvingModel(view *placement.View, now time.Time) {
	if now.Sub(s.starvationLoggedAt) < starvationLogInterval {
		return
	}
	for key, demand := range view.Demand {
		if demand.Waiting > 0 && demand.OldestWaitMs >= float64(starvationLogInterval.Milliseconds()) {
			s.starvationLoggedAt = now
			s.logStarvation(view, key, demand)
			return
		}
	}
}

func (s *Scheduler) logStarvation(view *placement.View, key string, demand *placement.Demand) {
	fields := logrus.Fields{"model": key, "oldest_wait_ms": demand.OldestWaitMs, "store_tokens": view.StoreTokens}
	for _, server := range view.Servers {
		tracked := s.tracker.Replica(server.ID)
		state := tracked.State()
		fields[server.ID] = fmt.Sprintf(
			"ready=%t known=%t polling=%t pending=%v intent=%s models=%d",
			server.Ready, state.IsKnown(), state.IsPolling(), tracked.Action(), tracked.Intent(), len(state.Loaded()),
		)
	}
	logrus.WithFields(fields).Info("requests have been waiting for a model for too long")
}
