package controlplane

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/place"
)

// explainEvery is how often at most, and from what wait on, a model waited for is explained.
const explainEvery = 2 * time.Second

// explain logs, with every replica's state, a model that requests have long been waiting for.
func (w *Scheduler) explain(view *place.View, now time.Time) {
	if now.Sub(w.explained) < explainEvery {
		return
	}
	for name, demand := range view.Demand {
		if demand.Waiting == 0 || demand.OldestWaitMs < float64(explainEvery.Milliseconds()) {
			continue
		}
		w.explained = now
		states := logrus.Fields{"wanted": name, "oldest_ms": demand.OldestWaitMs, "tokens": view.StoreTokens}
		for _, server := range view.Servers {
			one := w.managed[server.ID]
			states[server.ID] = fmt.Sprintf(
				"ready=%t known=%t asking=%t pending=%v intent=%s models=%d",
				server.Ready, one.state.Known(), one.state.Asking(), one.pending, one.intent, len(one.state.Held()),
			)
		}
		logrus.WithFields(states).Info("model still waited for")
		return
	}
}
