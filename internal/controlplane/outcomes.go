package controlplane

import (
	"math"

	"ferryspar/internal/partner"
)

const (
	failedPerEdge = 2.0
	nothing       = 1e-6
)

type counts struct {
	all   map[string]partner.ReplicaPressure
	areas map[[2]string]partner.Outcomes
	total partner.Outcomes
}

func newCounts() *counts {
	return &counts{all: map[string]partner.ReplicaPressure{}, areas: map[[2]string]partner.Outcomes{}}
}

func counted(told partner.Outcomes) partner.Outcomes {
	return partner.Outcomes{Served: told.Served, Failed: min(told.Failed, failedPerEdge)}
}

func moved(one, other partner.Outcomes, sign float64) partner.Outcomes {
	return partner.Outcomes{Served: one.Served + sign*other.Served, Failed: one.Failed + sign*other.Failed}
}

func shifted(sum, one partner.ReplicaPressure, sign float64) partner.ReplicaPressure {
	sum.Running += int(sign) * one.Running
	sum.Tokens += sign * one.Tokens
	sum.Prefill += sign * one.Prefill
	sum.Outcomes = moved(sum.Outcomes, counted(one.Outcomes), sign)
	return sum
}

func (s *counts) shift(pressure partner.Pressure, sign float64) {
	for id, one := range pressure.Replicas {
		sum := shifted(s.all[id], one, sign)
		s.total = moved(s.total, counted(one.Outcomes), sign)
		s.all[id] = sum
		if sum.Running == 0 && math.Abs(sum.Tokens)+math.Abs(sum.Prefill)+math.Abs(sum.Served)+math.Abs(sum.Failed) < nothing {
			delete(s.all, id)
		}
		key := [2]string{pressure.Area, id}
		near := moved(s.areas[key], counted(one.Outcomes), sign)
		s.areas[key] = near
		if math.Abs(near.Served)+math.Abs(near.Failed) < nothing {
			delete(s.areas, key)
		}
	}
}

func tenths(value float64) float64 { return math.Round(value*10) / 10 }

func (s *counts) named() map[string]partner.ReplicaPressure {
	told := make(map[string]partner.ReplicaPressure, len(s.all))
	for id, sum := range s.all {
		told[id] = rounded(sum, partner.Outcomes{})
	}
	return told
}

func rounded(sum partner.ReplicaPressure, near partner.Outcomes) partner.ReplicaPressure {
	told := partner.ReplicaPressure{Running: sum.Running, Tokens: math.Round(sum.Tokens), Prefill: math.Round(sum.Prefill)}
	if failed := tenths(sum.Failed); failed > 0 {
		told.Outcomes = partner.Outcomes{Served: tenths(sum.Served), Failed: failed}
		told.NearServed, told.NearFailed = tenths(near.Served), tenths(near.Failed)
	}
	return told
}
