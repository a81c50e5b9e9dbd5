package controlplane

import (
	"context"
	"sync"
	"time"

	"ferryspar/internal/partner"
	"ferryspar/internal/place"
)

type report struct {
	at       time.Time
	pressure partner.Pressure
}

type memberSums struct {
	at    time.Time
	share partner.SumShare
}

type Sums struct {
	lock     sync.Mutex
	reports  map[string]report
	own      map[string]partner.ReplicaPressure
	suspects map[string]int
	others   map[string]memberSums
	tally    map[string]partner.ModelPressure
	nudge    chan struct{}
}

func NewSums() *Sums {
	return &Sums{
		reports: map[string]report{}, own: map[string]partner.ReplicaPressure{}, suspects: map[string]int{},
		others: map[string]memberSums{}, tally: map[string]partner.ModelPressure{}, nudge: make(chan struct{}, 1),
	}
}

const (
	reportLife = 1500 * time.Millisecond
	sumsLife   = 1500 * time.Millisecond
	sumsEvery  = 250 * time.Millisecond
	sumsPause  = 20 * time.Millisecond
)

func (s *Sums) Hear(pressure partner.Pressure, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if before, known := s.reports[pressure.Daemon]; known {
		s.count(before.pressure, -1)
	}
	s.reports[pressure.Daemon] = report{now, pressure}
	s.count(pressure, 1)
	waiting := false
	for _, model := range pressure.Models {
		name := place.Key(model.Backend, model.Model)
		counted := s.tally[name]
		counted.Arrivals += model.Arrivals
		counted.ReadMs += model.ReadMs
		s.tally[name] = counted
		waiting = waiting || model.Waiting > 0
	}
	if waiting {
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
}

func (s *Sums) count(pressure partner.Pressure, sign int) {
	for id, one := range pressure.Replicas {
		sum := s.own[id]
		sum.Running += sign * one.Running
		sum.Tokens += float64(sign) * one.Tokens
		sum.Prefill += float64(sign) * one.Prefill
		if one.Suspect {
			s.suspects[id] += sign
		}
		if s.suspects[id] <= 0 {
			delete(s.suspects, id)
		}
		if sum.Running <= 0 && sum.Tokens <= 0.5 {
			delete(s.own, id)
			continue
		}
		s.own[id] = sum
	}
}

func (s *Sums) expire(now time.Time) {
	for daemon, one := range s.reports {
		if now.Sub(one.at) > reportLife {
			s.count(one.pressure, -1)
			delete(s.reports, daemon)
		}
	}
	for member, one := range s.others {
		if now.Sub(one.at) > sumsLife {
			delete(s.others, member)
		}
	}
}

func (s *Sums) Leave(daemon string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if before, known := s.reports[daemon]; known {
		s.count(before.pressure, -1)
		delete(s.reports, daemon)
	}
}

func (s *Sums) HearMember(share partner.SumShare, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.others[share.Member] = memberSums{now, share}
}

func (s *Sums) Outlook(daemon string, replicas map[string]bool) partner.Outlook {
	s.lock.Lock()
	defer s.lock.Unlock()
	outlook := partner.Outlook{Replicas: make(map[string]partner.ReplicaPressure, len(replicas))}
	own := s.reports[daemon].pressure.Replicas
	for id := range replicas {
		sum := s.own[id]
		mine := own[id]
		sum.Running -= mine.Running
		sum.Tokens -= mine.Tokens
		sum.Prefill -= mine.Prefill
		for _, other := range s.others {
			one := other.share.Replicas[id]
			sum.Running += one.Running
			sum.Tokens += one.Tokens
			sum.Prefill += one.Prefill
		}
		if sum.Running > 0 {
			sum.Suspect = false
			outlook.Replicas[id] = sum
		}
	}
	return outlook
}

func (s *Sums) Share(member string, now time.Time) partner.SumShare {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	share := partner.SumShare{Member: member, Daemons: len(s.reports), Replicas: make(map[string]partner.ReplicaPressure, len(s.own))}
	for id, one := range s.own {
		share.Replicas[id] = one
	}
	return share
}

func (s *Sums) Demand(share partner.SumShare) partner.SumShare {
	s.lock.Lock()
	defer s.lock.Unlock()
	share.Demand, share.Daemons = true, len(s.reports)
	share.Suspects = make(map[string]int, len(s.suspects))
	for id, amount := range s.suspects {
		share.Suspects[id] = amount
	}
	models := s.tally
	s.tally = map[string]partner.ModelPressure{}
	for _, one := range s.reports {
		for _, model := range one.pressure.Models {
			name := place.Key(model.Backend, model.Model)
			sum := models[name]
			sum.Waiting += model.Waiting
			sum.Running += model.Running
			sum.Aim = max(sum.Aim, model.Aim)
			sum.OldestMs = max(sum.OldestMs, model.OldestMs)
			models[name] = sum
		}
	}
	for name, model := range models {
		model.Backend, model.Model = place.Unkey(name)
		share.Models = append(share.Models, model)
	}
	return share
}

func (s *Sums) restore(share partner.SumShare) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, model := range share.Models {
		name := place.Key(model.Backend, model.Model)
		counted := s.tally[name]
		counted.Arrivals += model.Arrivals
		counted.ReadMs += model.ReadMs
		s.tally[name] = counted
	}
}

func (d *Daemon) hearPressure(ctx context.Context, pressure partner.Pressure) partner.Outlook {
	d.sums.Hear(pressure, d.clock())
	return d.sums.Outlook(pressure.Daemon, d.parts.Followed(pressure.Daemon))
}

func (d *Daemon) hearSums(ctx context.Context, share partner.SumShare) struct{} {
	now := d.clock()
	if share.Replicas != nil {
		d.sums.HearMember(share, now)
	}
	if share.Demand {
		d.warden.hearDemand(share)
	}
	return struct{}{}
}
