package controlplane

import (
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
	own      *counts
	suspects map[string]int
	others   map[string]memberSums
	tally    map[string]partner.ModelPressure
	waits    map[string]bool
	fresh    map[string]bool
	nudge    chan struct{}
}

func NewSums() *Sums {
	return &Sums{
		reports: map[string]report{}, own: newCounts(), suspects: map[string]int{}, others: map[string]memberSums{},
		tally: map[string]partner.ModelPressure{}, waits: map[string]bool{}, fresh: map[string]bool{}, nudge: make(chan struct{}, 1),
	}
}

const (
	reportLife = 1500 * time.Millisecond
	sumsLife   = 1500 * time.Millisecond
)

func (s *Sums) Hear(pressure partner.Pressure, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.drop(pressure.Daemon)
	s.reports[pressure.Daemon] = report{now, pressure}
	s.count(pressure, 1)
	for _, model := range pressure.Models {
		name := place.Key(model.Backend, model.Model)
		counted := s.tally[name]
		counted.Arrivals += model.Arrivals
		counted.ReadMs += model.ReadMs
		s.tally[name] = counted
		if model.Waiting > 0 && !s.waits[name] {
			s.waits[name], s.fresh[name] = true, true
		}
	}
	if len(s.fresh) > 0 {
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
}

func (s *Sums) drop(daemon string) {
	if before, known := s.reports[daemon]; known {
		s.count(before.pressure, -1)
		delete(s.reports, daemon)
	}
}

func (s *Sums) count(pressure partner.Pressure, sign int) {
	s.own.shift(pressure, float64(sign))
	for id, one := range pressure.Replicas {
		if one.Suspect {
			s.suspects[id] += sign
		}
		if s.suspects[id] <= 0 {
			delete(s.suspects, id)
		}
	}
}

func (s *Sums) expire(now time.Time) {
	for daemon, one := range s.reports {
		if now.Sub(one.at) > reportLife {
			s.drop(daemon)
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
	s.drop(daemon)
}

func (s *Sums) HearMember(share partner.SumShare, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.others[share.Member] = memberSums{now, share}
}

func (s *Sums) Outlook(daemon string, replicas map[string]bool) partner.Outlook {
	s.lock.Lock()
	defer s.lock.Unlock()
	mine := s.reports[daemon].pressure
	outlook := partner.Outlook{Replicas: make(map[string]partner.ReplicaPressure, len(replicas)), Total: s.own.total}
	for _, other := range s.others {
		outlook.Total = moved(outlook.Total, other.share.Total, 1)
	}
	for _, one := range mine.Replicas {
		outlook.Total = moved(outlook.Total, counted(one.Outcomes), -1)
	}
	outlook.Total = partner.Outcomes{Served: tenths(outlook.Total.Served), Failed: tenths(outlook.Total.Failed)}
	for id := range replicas {
		if told := s.sum(id, mine); told != (partner.ReplicaPressure{}) {
			outlook.Replicas[id] = told
		}
	}
	return outlook
}

func (s *Sums) sum(id string, mine partner.Pressure) partner.ReplicaPressure {
	own := mine.Replicas[id]
	sum := shifted(s.own.all[id], own, -1)
	near := moved(s.own.areas[[2]string{mine.Area, id}], counted(own.Outcomes), -1)
	for _, other := range s.others {
		one := other.share.Replicas[id]
		sum.Running += one.Running
		sum.Tokens += one.Tokens
		sum.Prefill += one.Prefill
		sum.Outcomes = moved(sum.Outcomes, one.Outcomes, 1)
		near = moved(near, other.share.Near[mine.Area][id], 1)
	}
	return rounded(sum, near)
}

func (s *Sums) Share(member string, now time.Time) partner.SumShare {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	share := partner.SumShare{Member: member, Daemons: len(s.reports), Total: s.own.total, Replicas: s.own.named()}
	for key, one := range s.own.areas {
		if failed := tenths(one.Failed); failed > 0 {
			if share.Near == nil {
				share.Near = map[string]partner.AreaOutcomes{}
			}
			if share.Near[key[0]] == nil {
				share.Near[key[0]] = partner.AreaOutcomes{}
			}
			share.Near[key[0]][key[1]] = partner.Outcomes{Served: tenths(one.Served), Failed: failed}
		}
	}
	s.tellServed(share)
	return share
}

func (s *Sums) tellServed(share partner.SumShare) {
	for _, other := range s.others {
		for id, one := range other.share.Replicas {
			if own, known := s.own.all[id]; one.Failed > 0 && known {
				told := share.Replicas[id]
				told.Outcomes = partner.Outcomes{Served: tenths(own.Served), Failed: tenths(own.Failed)}
				share.Replicas[id] = told
			}
		}
	}
}
