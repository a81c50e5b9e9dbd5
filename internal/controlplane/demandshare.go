package controlplane

import (
	"context"
	"maps"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

// Demand is this daemon's share of the demand, for the placement holder: arrivals since the last
// one or, if there are any, some that it may not have heard; and what waits and runs now. A partial share holds only models that are newly waited for.
func (s *Sums) Demand(member string, partial bool) peer.LoadSum {
	s.lock.Lock()
	defer s.lock.Unlock()
	share := peer.LoadSum{Member: member, Daemons: len(s.reports), Demand: true, Partial: partial}
	wanted := func(name string) bool { return !partial || s.fresh[name] }
	batch := arrivalBatch{}
	if !partial {
		batch = s.arrivals.again()
	}
	if batch.number == 0 {
		batch = s.arrivals.next(wanted)
	}
	share.Batch = batch.number
	models := make(map[string]peer.ModelLoad, len(batch.models))
	maps.Copy(models, batch.models)
	waits := map[string]bool{}
	for _, one := range s.reports {
		for _, model := range one.load.Models {
			name := place.ModelKey(model.Backend, model.Model)
			if model.Waiting > 0 {
				waits[name] = true
			}
			if !wanted(name) {
				continue
			}
			sum := models[name]
			sum.Waiting += model.Waiting
			sum.Running += model.Running
			sum.Aim = max(sum.Aim, model.Aim)
			sum.OldestMs = max(sum.OldestMs, model.OldestMs)
			models[name] = sum
		}
	}
	s.waiting = waits
	clear(s.fresh)
	for name, model := range models {
		model.Backend, model.Model = place.SplitModelKey(name)
		share.Models = append(share.Models, model)
	}
	if !partial {
		share.Suspects = make(map[string]int, len(s.suspects))
		for id, amount := range s.suspects {
			share.Suspects[id] = amount
		}
	}
	return share
}

// delivered notes that a share was heard.
func (s *Sums) delivered(share peer.LoadSum) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals.settle(share.Batch, true)
}

// restore has the arrivals of a share that may not have been delivered sent again, under their number.
func (s *Sums) restore(share peer.LoadSum) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals.settle(share.Batch, false)
	for _, model := range share.Models {
		delete(s.waiting, place.ModelKey(model.Backend, model.Model))
	}
}

// hearLoad takes in a data plane's load and answers with the other data planes' load at the
// replicas that it follows.
func (d *Daemon) hearLoad(ctx context.Context, load peer.LoadReport) peer.FleetLoad {
	d.sums.Hear(load, d.clock())
	return d.sums.Outlook(load.Daemon, d.parts.Followed(load.Daemon))
}

// hearSums takes in another control plane's sums. It answers Unknown if they came packed by a list
// of replicas that is not the one held here; the sender then names them.
func (d *Daemon) hearSums(ctx context.Context, share peer.LoadSum) peer.LoadSumReply {
	now := d.clock()
	if share.Dense != nil {
		named, known := d.dense.open(share.Dense, d.roster.listed())
		if !known {
			return peer.LoadSumReply{Unknown: true}
		}
		for id, one := range share.Replicas {
			sum := named[id]
			sum.Outcomes = one.Outcomes
			named[id] = sum
		}
		share.Replicas = named
	}
	if share.Replicas != nil {
		d.sums.HearMember(share, now)
	}
	if share.Demand {
		d.scheduler.hearDemand(share)
	}
	return peer.LoadSumReply{}
}
