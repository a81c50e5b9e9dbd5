package controlplane

import (
	"math"

	"ferryspar/internal/partner"
)

const (
	failedPerEdge = 2.0
	nothing       = 1e-6
)

type sums struct {
	all   map[string]partner.ReplicaPressure
	areas map[[2]string]partner.Outcomes
}

func newSums() *sums {
	return &sums{all: map[string]partner.ReplicaPressure{}, areas: map[[2]string]partner.Outcomes{}}
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

func (s *sums) shift(pressure partner.Pressure, sign float64) {
	for id, one := range pressure.Replicas {
		sum := shifted(s.all[id], one, sign)
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

func (s *sums) others(pressure partner.Pressure) partner.Outlook {
	outlook := partner.Outlook{Replicas: map[string]partner.ReplicaPressure{}}
	for id, sum := range s.all {
		own := pressure.Replicas[id]
		rest := shifted(sum, own, -1)
		outlook.Total = moved(outlook.Total, rest.Outcomes, 1)
		told := partner.ReplicaPressure{Running: rest.Running, Tokens: math.Round(rest.Tokens), Prefill: math.Round(rest.Prefill)}
		if failed := tenths(rest.Failed); failed > 0 {
			near := moved(s.areas[[2]string{pressure.Area, id}], counted(own.Outcomes), -1)
			told.Outcomes = partner.Outcomes{Served: tenths(rest.Served), Failed: failed}
			told.NearServed, told.NearFailed = tenths(near.Served), tenths(near.Failed)
		}
		if told != (partner.ReplicaPressure{}) {
			outlook.Replicas[id] = told
		}
	}
	outlook.Total = partner.Outcomes{Served: tenths(outlook.Total.Served), Failed: tenths(outlook.Total.Failed)}
	return outlook
}
