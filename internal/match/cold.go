package match

import (
	"time"

	"ferryspar/internal/portion"
)

type coldRule struct {
	perSecond float64
	bound     float64
}

func (p Parameters) coldRule(perSecond float64) coldRule {
	return coldRule{perSecond, perSecond*p.ColdOverage + p.ColdSlack}
}

func (r coldRule) remembered() int { return max(int(r.perSecond), 1) }

const (
	coldReserve = 2
	coldPause   = 1100 * time.Millisecond
)

type coldShare struct {
	chance  float64
	allowed int
	window  time.Duration
}

func (r coldRule) share(edges int) coldShare {
	count := float64(max(edges, 1))
	if count <= r.perSecond {
		return coldShare{1, int(r.perSecond / count), time.Second}
	}
	mean := portion.MeanWithin(r.bound)
	if count <= r.bound {
		mean = min(count, r.bound/coldReserve)
	}
	pause := time.Duration(float64(time.Second) * mean / r.perSecond)
	return coldShare{min(mean/count, 1), 1, max(pause, coldPause)}
}
