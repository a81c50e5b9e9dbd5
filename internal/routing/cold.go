package routing

import (
	"time"

	"ferryspar/internal/apportion"
)

// warmUpLimit is what the backend allows at a cold replica, by all data planes together.
type warmUpLimit struct {
	perSecond    float64 // requests a second to aim at
	maxPerSecond float64 // requests in any one second that must not be passed
}

// warmUpLimit is the rule for a backend with that rate (coldPerS of the wire).
func (p Parameters) warmUpLimit(perSecond float64) warmUpLimit {
	return warmUpLimit{
		perSecond:    perSecond,
		maxPerSecond: perSecond*p.ColdOverage + p.ColdSlack,
	}
}

// remembered is how many sends a replica's state has to keep to follow the rule.
func (r warmUpLimit) sendsToRemember() int { return max(int(r.perSecond), 1) }

const (
	// warmUpReserve: at most the bound divided by this is designated where all could send at once.
	warmUpReserve = 2
	// minWarmUpInterval is the shortest pause of a designated data plane between two sends; beyond one
	// second, so that no second holds two sends of one.
	minWarmUpInterval = 1100 * time.Millisecond
)

// warmUpShare is one data plane's part of a warmUpLimit: with the given chance it is designated, and then
// it sends at most that many requests in any window.
type warmUpShare struct {
	chance  float64
	allowed int
	window  time.Duration
}

// share divides the rule over the data planes (edges, counted high while uncertain). While there
// are no more of them than the rate, each sends its whole share a second. Otherwise each replica has
// few designated data planes: up to half the bound where all sending at once stay within it, else so
// few that more designates than the bound are a matter of 1 in 100,000 (apportion.Tail).
func (r warmUpLimit) share(dataPlanes int) warmUpShare {
	count := float64(max(dataPlanes, 1))
	if count <= r.perSecond {
		return warmUpShare{chance: 1, allowed: int(r.perSecond / count), window: time.Second}
	}
	mean := apportion.MaxMeanWithin(r.maxPerSecond)
	if count <= r.maxPerSecond {
		mean = min(count, r.maxPerSecond/warmUpReserve)
	}
	pause := time.Duration(float64(time.Second) * mean / r.perSecond)
	return warmUpShare{
		chance:  min(mean/count, 1),
		allowed: 1,
		window:  max(pause, minWarmUpInterval),
	}
}
