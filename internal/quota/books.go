package quota

import "time"

// lend notes the part of the share that a home is to have of a group as lent, as far as it isn't lent elsewhere.
func (l *Lender) leaseShare(homeShard string, group, homeShards int, now time.Time) float64 {
	if !l.mayLend(now) {
		return 0
	}
	elsewhere := 0.0
	for key, entries := range l.leases {
		if key.group == group && key.homeShard != homeShard {
			elsewhere += largestShare(entries)
		}
	}
	share := min(l.share/float64(homeShards), l.share-elsewhere)
	if share <= 0 {
		return 0
	}
	key := leaseKey{homeShard, group}
	l.leases[key] = append(l.leases[key], lease{share: share, until: now.Add(l.parameters.leaseDuration())})
	return share
}

// idle is how long the share was nobody's: after a start of all since this process began, else not at all.
func (l *Lender) idleTime(group int, now time.Time) time.Duration {
	if !l.fleetRestarted || l.hasLent[group] {
		return 0
	}
	return now.Sub(l.startedAt)
}

// moved says whether a part of the group's share was released so lately that it may not bring tokens to a home.
func (l *Lender) recentlyReleased(group int, now time.Time) bool {
	released, known := l.releasedAt[group]
	return known && now.Sub(released) < l.parameters.leaseDuration()
}

// settle drops what has surely ended from the books.
func (l *Lender) expireLeases(now time.Time) {
	for key, entries := range l.leases {
		var open []lease
		for _, one := range entries {
			if now.Before(one.until) {
				open = append(open, one)
			}
		}
		if len(open) == 0 {
			delete(l.leases, key)
			continue
		}
		l.leases[key] = open
	}
}

// largestShare is the largest share of the entries: a home holds one of them at a time, and which one isn't known.
func largestShare(entries []lease) float64 {
	largest := 0.0
	for _, one := range entries {
		largest = max(largest, one.share)
	}
	return largest
}
