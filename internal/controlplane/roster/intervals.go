package roster

import "time"

const (
	// minListInterval is the shortest interval between two reads of the list.
	minListInterval = 450 * time.Millisecond
	// minReadPause is the shortest pause between the end of a read that took long and the next one.
	minReadPause = minListInterval / 4
	// staleListAge is how old a list may be before a node without the lease reads it itself.
	staleListAge = 1300 * time.Millisecond
	// listRateDivisor: one reader takes the platform's rate divided by this at most.
	listRateDivisor = 3
	// minCallsPerSecond is the least rate that intervals are computed for.
	minCallsPerSecond = 0.1
)

// listInterval is the interval between two reads of a list of that many pages.
func listInterval(callsPerSecond float64, pages int) time.Duration {
	perPage := float64(listRateDivisor*time.Second) / max(callsPerSecond, minCallsPerSecond)
	return max(minListInterval, time.Duration(perPage*float64(pages)))
}

// sharedListInterval is the interval of each of the nodes that read the list without the lease: together
// they take no more of the platform's rate than the lease holder does.
func sharedListInterval(callsPerSecond float64, pages, readers int) time.Duration {
	return listInterval(callsPerSecond, pages*max(readers, 1))
}

// staleAge is how old a list of that many pages may be before it is read without the lease: staleListAge,
// or as much later as the lease holder's interval is longer than the shortest.
func staleAge(callsPerSecond float64, pages int) time.Duration {
	return staleListAge + listInterval(callsPerSecond, pages) - minListInterval
}
