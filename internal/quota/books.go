package quota

import "time"

// lend notes the part of the share that a home is to have of a group as lent, as far as it isn't lent elsewhere.
func (l *Lender) lend(home string, group, homes int, now time.Time) float64 {
	if !l.lends(now) {
		return 0
	}
	elsewhere := 0.0
	for key, entries := range l.books {
		if key.group == group && key.home != home {
			elsewhere += most(entries)
		}
	}
	share := min(l.share/float64(homes), l.share-elsewhere)
	if share <= 0 {
		return 0
	}
	key := bookKey{home, group}
	l.books[key] = append(l.books[key], entry{share: share, until: now.Add(l.parameters.lent())})
	return share
}

// idle is how long the share was nobody's: after a start of all since this process began, else not at all.
func (l *Lender) idle(group int, now time.Time) time.Duration {
	if !l.anew || l.begun[group] {
		return 0
	}
	return now.Sub(l.born)
}

// moved says whether a part of the group's share was released so lately that it may not bring tokens to a home.
func (l *Lender) moved(group int, now time.Time) bool {
	released, known := l.releasedAt[group]
	return known && now.Sub(released) < l.parameters.lent()
}

// settle drops what has surely ended from the books.
func (l *Lender) settle(now time.Time) {
	for key, entries := range l.books {
		var open []entry
		for _, one := range entries {
			if now.Before(one.until) {
				open = append(open, one)
			}
		}
		if len(open) == 0 {
			delete(l.books, key)
			continue
		}
		l.books[key] = open
	}
}

// most is the largest share of the entries: a home holds one of them at a time, and which one isn't known.
func most(entries []entry) float64 {
	largest := 0.0
	for _, one := range entries {
		largest = max(largest, one.share)
	}
	return largest
}
