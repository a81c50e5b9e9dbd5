package routing

import (
	"time"

	"ferryspar/internal/apportion"
)

// warmUpLimit is what the backend allows at a replica that is warming up, by all data planes together.
type warmUpLimit struct {
	perSecond    float64 // target rate of requests
	maxPerSecond float64 // requests that no second may exceed
}

// warmUpLimit returns the limit for a backend with that rate (coldPerS of the configuration).
func (p Parameters) warmUpLimit(perSecond float64) warmUpLimit {
	return warmUpLimit{
		perSecond:    perSecond,
		maxPerSecond: perSecond*p.WarmUpOverage + p.WarmUpSlack,
	}
}

// sendsToRemember is how many sends a replica's state has to keep to respect the limit.
func (l warmUpLimit) sendsToRemember() int { return max(int(l.perSecond), 1) }

const (
	// warmUpReserve: at most maxPerSecond divided by this is designated if all could send at once.
	warmUpReserve = 2
	// minWarmUpInterval is the shortest interval between two sends of a designated data plane; beyond one
	// second, so that no second holds two of its sends.
	minWarmUpInterval = 1100 * time.Millisecond
)

// warmUpShare is one data plane's share of a warmUpLimit: with the given chance it is designated for a
// replica, and then it sends at most that many requests in any window.
type warmUpShare struct {
	chance  float64
	allowed int
	window  time.Duration
}

// share divides the limit over the data planes (counted high while their number is uncertain). While there
// are no more of them than the rate, each sends its whole share every second. Otherwise each replica has
// few designated data planes: up to half of maxPerSecond if all sending at once stay within it, else so
// few that more designates than maxPerSecond have a probability of 1 in 100,000 (apportion.TailProbability).
func (l warmUpLimit) share(dataPlanes int) warmUpShare {
	count := float64(max(dataPlanes, 1))
	if count <= l.perSecond {
		return warmUpShare{chance: 1, allowed: int(l.perSecond / count), window: time.Second}
	}
	mean := apportion.MaxMeanWithin(l.maxPerSecond)
	if count <= l.maxPerSecond {
		mean = min(count, l.maxPerSecond/warmUpReserve)
	}
	interval := time.Duration(float64(time.Second) * mean / l.perSecond)
	return warmUpShare{
		chance:  min(mean/count, 1),
		allowed: 1,
		window:  max(interval, minWarmUpInterval),
	}
}
