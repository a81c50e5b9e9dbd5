package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// contactTimeout is how long after the last confirmed news a data plane with context rules no longer
// trusts what it knows, and a drill ends.
const contactTimeout = 2500 * time.Millisecond

// Trusts tells whether the context that the matcher keeps may still be used: always without context
// rules, otherwise only with confirmed news lately. Any goroutine may call it.
func (s *FleetState) TrustsContext(now time.Time) bool {
	if !s.hasContextRules.Load() {
		return true
	}
	confirmed := s.lastConfirmed.Load()
	return confirmed != nil && now.Sub(*confirmed) < contactTimeout
}

// adoptContextRules adopts context rules newer than those held, and has the matcher forget what they
// name. What has been forgotten is reported only once the matcher has done it.
func (s *FleetState) adoptContextRules(rules peer.ContextUpdate) {
	if rules.Version <= s.contextNumber || s.updateLedger == nil {
		return
	}
	s.contextNumber = rules.Version
	from := s.lastForgetNumber
	for _, forget := range rules.Forgets {
		s.lastForgetNumber = max(s.lastForgetNumber, forget.Number)
	}
	last := s.lastForgetNumber
	s.hasContextRules.Store(true)
	s.updateLedger(func(ledger *routing.PrefixLedger) {
		now := s.clock()
		dropped := 0
		for _, forget := range rules.Forgets {
			if forget.Number > from {
				dropped += ledger.Forget(forget.Scope.Covers, now)
			}
		}
		ledger.SetTTL(time.Duration(rules.MaxAgeMs)*time.Millisecond, now)
		s.position.contextNumber.Store(rules.Version)
		s.position.forgotNumber.Store(last)
		logrus.WithFields(logrus.Fields{
			"number":  last,
			"dropped": dropped,
			"life_ms": rules.MaxAgeMs,
			"kept":    ledger.Len(),
		}).Info("context let go")
	})
}
