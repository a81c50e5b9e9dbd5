package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/match"
	"ferryspar/internal/peer"
)

// outOfTouch is how long after the last confirmed news a data plane with context rules no longer
// trusts what it knows, and a drill ends.
const outOfTouch = 2500 * time.Millisecond

// Trusts tells whether the context that the matcher keeps may still be used: always without context
// rules, otherwise only with confirmed news lately. Any goroutine may call it.
func (d *FleetState) Trusts(now time.Time) bool {
	if !d.guarded.Load() {
		return true
	}
	heard := d.heard.Load()
	return heard != nil && now.Sub(*heard) < outOfTouch
}

// adoptContext adopts context rules newer than those held, and has the matcher forget what they
// name. What has been forgotten is reported only once the matcher has done it.
func (d *FleetState) adoptContext(news peer.ContextNews) {
	if news.Number <= d.told || d.forget == nil {
		return
	}
	d.told = news.Number
	from := d.lastForget
	for _, one := range news.Forgets {
		d.lastForget = max(d.lastForget, one.Number)
	}
	last := d.lastForget
	d.guarded.Store(true)
	d.forget(func(ledger *match.PrefixLedger) {
		now := d.clock()
		dropped := 0
		for _, one := range news.Forgets {
			if one.Number > from {
				dropped += ledger.Forget(one.Scope.Covers, now)
			}
		}
		ledger.SetTTL(time.Duration(news.LifeMs)*time.Millisecond, now)
		d.wants.context.Store(news.Number)
		d.wants.forgot.Store(last)
		logrus.WithFields(logrus.Fields{
			"number":  last,
			"dropped": dropped,
			"life_ms": news.LifeMs,
			"kept":    ledger.Len(),
		}).Info("context let go")
	})
}
