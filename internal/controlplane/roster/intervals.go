package roster

import (
	"time"

	"ferryspar/internal/discovery"
)

const (
	// minListInterval is the shortest interval between two reads of the list.
	minListInterval = 450 * time.Millisecond
	// settledInterval is the shortest interval while the list has not changed for settledAfter: each page that is read has a price.
	// It is below staleListAge, so that updates come before the others take the list for stale.
	settledInterval = 850 * time.Millisecond
	settledAfter    = 3 * time.Second
	// minReadPause is the shortest pause between the end of a read that took long and the next one.
	minReadPause = minListInterval / 4
	// staleListAge is how old a list may be before a node without the lease reads it itself.
	staleListAge = 1300 * time.Millisecond
	// listRateDivisor: one reader takes the platform's rate divided by this at most, unless the list would then be read less
	// often than each maxListInterval.
	listRateDivisor = 3
	// maxListInterval is the longest interval between two reads of a list, as far as a reader alone may read so often. A
	// replica that is listed as draining must get no requests some seconds later.
	maxListInterval = 1200 * time.Millisecond
	// holderRateShare is the share of the platform's rate that the lease holder takes at most: with that of the nodes that read
	// the list without the lease it stays below the whole.
	holderRateShare = 0.65
	// loneRateShare is the share that a node takes whose turn it is where no node has a list: nobody else reads then.
	loneRateShare = 0.9
	// minCallsPerSecond is the least rate that intervals are computed for.
	minCallsPerSecond = 0.1
)

// listInterval is the interval between two reads of a list of that many pages by the lease holder.
func listInterval(callsPerSecond float64, pages int) time.Duration {
	rate := max(callsPerSecond, minCallsPerSecond)
	thrifty := interval(rate/listRateDivisor, pages)
	fastest := interval(rate*holderRateShare, pages)
	return max(minListInterval, min(thrifty, max(maxListInterval, fastest)))
}

// settled is the interval between two reads of a list that has not changed for a time.
func settled(interval, unchangedFor time.Duration) time.Duration {
	if unchangedFor < settledAfter {
		return interval
	}
	return max(interval, settledInterval)
}

// sharedListInterval is the interval of each of the nodes that read the list without the lease: together
// they take no more than a part of the platform's rate.
func sharedListInterval(callsPerSecond float64, pages, readers int) time.Duration {
	rate := max(callsPerSecond, minCallsPerSecond)
	return max(minListInterval, interval(rate/listRateDivisor, pages*max(readers, 1)))
}

// interval is the time that so many pages take at a rate.
func interval(pagesPerSecond float64, pages int) time.Duration {
	return time.Duration(float64(pages) / pagesPerSecond * float64(time.Second))
}

// readDuration is how long the reading of so many pages takes at least.
func readDuration(callsPerSecond float64, pages int) time.Duration {
	return discovery.MinListDuration(max(callsPerSecond, minCallsPerSecond)*holderRateShare, pages)
}

// recentAge is how old a list of that many pages may be to be handed on: it is as old as its reading took when it is complete.
func recentAge(callsPerSecond float64, pages int) time.Duration {
	return staleListAge + readDuration(callsPerSecond, pages)
}

// staleAge is how old a list of that many pages may be before it is read without the lease: recentAge, or as much later as the
// lease holder's interval is longer than the shortest.
func staleAge(callsPerSecond float64, pages int) time.Duration {
	return recentAge(callsPerSecond, pages) + listInterval(callsPerSecond, pages) - minListInterval
}
