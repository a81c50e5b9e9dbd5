package controlplane

import (
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// handleDemand takes in a control plane's share of the demand, its arrivals unless they were heard
// before, and has a plan made soon if a model is newly waited for. Any goroutine may call it.
func (s *Scheduler) handleDemand(share peer.LoadSummary) {
	now := s.node.clock()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.learningSince.IsZero() && len(share.Models) > 0 {
		s.learningSince = now
	}
	names := make([]string, len(share.Models))
	isNew := s.aggregator.IsNewBatch(share)
	for index, model := range share.Models {
		names[index] = placement.ModelKey(model.Backend, model.Model)
		if !isNew {
			continue
		}
		s.arrivals[names[index]] += float64(model.Arrivals)
		s.prefillMs[names[index]] += model.PrefillMs
	}
	if s.aggregator.Add(share, names, now) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// measure brings the demand up to date: sums at once, averaged rates every quarter of a second.
// Models not asked for in a long time are forgotten.
func (s *Scheduler) updateDemand() {
	now := s.node.clock()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.adoptReceivedRates(now)
	s.aggregator.Expire(now)
	s.aggregator.WriteTo(s.demand, now)
	span := now.Sub(s.ratesUpdatedAt).Seconds()
	if span < 0.25 {
		return
	}
	s.ratesUpdatedAt = now
	share := min(span/rateTimeConstant, 1)
	slowShare := min(span/slowRateTimeConstant, 1)
	for name, amount := range s.arrivals {
		if s.demand[name] == nil {
			s.demand[name] = &placement.Demand{}
		}
		if amount > 0 {
			s.demand[name].LastSeen = now
		}
	}
	for name, demand := range s.demand {
		demand.Rate += share * (s.arrivals[name]/span - demand.Rate)
		demand.LongTermRate += slowShare * (s.arrivals[name]/span - demand.LongTermRate)
		demand.PrefillLoad += share * (s.prefillMs[name]/span/1000 - demand.PrefillLoad)
		if demand.Rate < 0.003 {
			demand.Rate = 0
		}
		if demand.Rate == 0 && demand.Waiting == 0 && demand.Running == 0 && now.Sub(demand.LastSeen) > idleModelExpiry {
			delete(s.demand, name)
		}
	}
	clear(s.arrivals)
	clear(s.prefillMs)
}

const (
	// minSharedRate is the rate, in requests a second, from which a model's rate is shared.
	minSharedRate = 0.3
	// learningPeriod is how long a holder listens before it trusts the demand it has heard.
	learningPeriod = 6 * time.Second
	// idleModelExpiry is how long a model without demand is remembered.
	idleModelExpiry = 6 * time.Minute
	// slowRateTimeConstant is the time constant, in seconds, of the slow average of rates.
	slowRateTimeConstant = 120.0
)

// learned tells whether the demand is known well enough to unload by it.
func (s *Scheduler) hasLearnedDemand(now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !s.learningSince.IsZero() && now.Sub(s.learningSince) >= learningPeriod
}
