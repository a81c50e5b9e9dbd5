package controlplane

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/placement"
)

// starvationLogInterval is how often at most, and from what wait on, a model waited for is explained.
const starvationLogInterval = 2 * time.Second

// explain logs, with every replica's state, a model that requests have long been waiting for.
func (s *Scheduler) logStarvingModel(view *placement.View, now time.Time) {
	if now.Sub(s.starvationLoggedAt) < starvationLogInterval {
		return
	}
	for name, demand := range view.Demand {
		if demand.Waiting == 0 || demand.OldestWaitMs < float64(starvationLogInterval.Milliseconds()) {
			continue
		}
		s.starvationLoggedAt = now
		states := logrus.Fields{"wanted": name, "oldest_ms": demand.OldestWaitMs, "tokens": view.StoreTokens}
		for _, server := range view.Servers {
			tracked := s.tracked[server.ID]
			states[server.ID] = fmt.Sprintf(
				"ready=%t known=%t asking=%t pending=%v intent=%s models=%d",
				server.Ready, tracked.state.IsKnown(), tracked.state.IsPolling(), tracked.pendingAction, tracked.intent, len(tracked.state.Loaded()),
			)
		}
		logrus.WithFields(states).Info("model still waited for")
		return
	}
}
