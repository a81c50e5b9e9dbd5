package routing

import (
	"time"

	"ferryspar/internal/apportion"
)

// warmUpLimit limits the requests of all data planes together to a replica that is warming up.
type warmUpLimit struct {
	perSecond    float64 // target rate of requests
	maxPerSecond float64 // maximum number of requests in any second
}

// warmUpLimit returns the limit for a backend with the given rate (coldPerS of the configuration).
func (p Parameters) warmUpLimit(perSecond float64) warmUpLimit {
	return warmUpLimit{
		perSecond:    perSecond,
		maxPerSecond: perSecond*p.WarmUpOverage + p.WarmUpSlack,
	}
}

// sendsToRemember returns how many sends a replica's state has to record to enforce the limit.
func (l warmUpLimit) sendsToRemember() int { return max(int(l.perSecond), 1) }

const (
	// warmUpReserve divides maxPerSecond into the mean number of designated data planes, if all data planes sending at once
	// stay within maxPerSecond.
	warmUpReserve = 2
	// minWarmUpInterval is the shortest interval between two sends of a designated data plane. It is longer than
	// a second, so that no second contains two sends.
	minWarmUpInterval = 1100 * time.Millisecond
)

// warmUpShare is one data plane's share of a warmUpLimit: with the given probability it is designated for a
// replica, and it then sends at most maxSends requests in any window.
type warmUpShare struct {
	probability float64
	maxSends    int
	window      time.Duration
}

// share divides the limit over the data planes, whose number is overestimated while uncertain. If there are no
// more of them than perSecond, each may send its share every second. Otherwise only some data planes are
// designated for each replica: on average up to half of maxPerSecond if all data planes sending at once stay
// within it, else so few that the probability of more than maxPerSecond designated ones is at most 1 in 100,000
// (apportion.TailProbability).
func (l warmUpLimit) share(dataPlanes int) warmUpShare {
	count := float64(max(dataPlanes, 1))
	if count <= l.perSecond {
		return warmUpShare{probability: 1, maxSends: int(l.perSecond / count), window: time.Second}
	}
	mean := apportion.MaxMeanWithin(l.maxPerSecond)
	if count <= l.maxPerSecond {
		mean = min(count, l.maxPerSecond/warmUpReserve)
	}
	interval := time.Duration(float64(time.Second) * mean / l.perSecond)
	return warmUpShare{
		probability: min(mean/count, 1),
		maxSends:    1,
		window:      max(interval, minWarmUpInterval),
	}
}
