package controlplane

import (
	"math"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// adoptReceivedRates adopts the rates that another holder has shared; rates that it did not name are
// bounded by the least that is shared. The caller holds the lock.
func (s *Scheduler) adoptReceivedRates(now time.Time) {
	rates := s.receivedRates
	s.receivedRates = nil
	if len(rates) == 0 {
		return
	}
	for name, demand := range s.demand {
		if _, known := rates[name]; !known {
			demand.Rate = min(demand.Rate, minSharedRate)
			demand.PrefillLoad = 0
		}
	}
	for name, rate := range rates {
		if s.demand[name] == nil {
			s.demand[name] = &placement.Demand{}
		}
		s.demand[name].Rate = rate.RequestsPerS
		s.demand[name].PrefillLoad = rate.PrefillLoad
		s.demand[name].LastSeen = now
	}
}

// rates are the rates worth sharing with the other control planes, by the key of the model. Any
// goroutine may call it.
func (s *Scheduler) sharedRates() map[string]peer.Rate {
	s.lock.Lock()
	defer s.lock.Unlock()
	rates := map[string]peer.Rate{}
	for name, demand := range s.demand {
		if demand.Rate >= minSharedRate {
			rates[name] = peer.Rate{
				RequestsPerS: math.Round(demand.Rate*100) / 100,
				PrefillLoad:  math.Round(demand.PrefillLoad*1000) / 1000,
			}
		}
	}
	return rates
}

// handleRates takes in the rates of the holder, which spares this daemon the learning. Any goroutine
// may call it.
func (s *Scheduler) handleRates(rates map[string]peer.Rate) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(rates) == 0 {
		return
	}
	s.learningSince = s.node.clock().Add(-learningPeriod)
	s.receivedRates = rates
}
