package usage

import "sync"

// Entry holds the cumulative counts of one incarnation of a data plane in one window, by tenant.
type Entry struct {
	Incarnation string            `json:"i"`
	Window      uint64            `json:"w"`
	Counts      map[string]uint64 `json:"c"`
}

// Ledger holds counts by window, incarnation and tenant. It is safe for concurrent use.
type Ledger struct {
	// lock guards the fields below.
	lock sync.Mutex
	// version increases with each change of a count.
	version uint64
	windows map[uint64]map[string]*windowCounts
	// oldest is the oldest window that is kept. Counts of older windows are ignored.
	oldest uint64
}

// windowCounts holds the counts of one incarnation in one window.
type windowCounts struct {
	// version is the ledger's version of the last change.
	version  uint64
	byTenant map[string]count
}

// count is the count of one tenant, with the ledger's version of its last change.
type count struct {
	value   uint64
	version uint64
}

// NewLedger returns a ledger without counts.
func NewLedger() *Ledger { return &Ledger{windows: map[uint64]map[string]*windowCounts{}} }

// Add counts one request of a tenant.
func (l *Ledger) Add(incarnation string, window uint64, tenant string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if window < l.oldest {
		return
	}
	counts := l.countsOf(window, incarnation)
	l.set(counts, tenant, counts.byTenant[tenant].value+1)
}

// Merge raises counts to the values in the entries where these are higher.
func (l *Ledger) Merge(entries []Entry) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, entry := range entries {
		if entry.Window < l.oldest {
			continue
		}
		counts := l.countsOf(entry.Window, entry.Incarnation)
		for tenant, value := range entry.Counts {
			if value > counts.byTenant[tenant].value {
				l.set(counts, tenant, value)
			}
		}
	}
}

// countsOf returns the counts of an incarnation in a window. It creates them if there are none. The caller holds the lock.
func (l *Ledger) countsOf(window uint64, incarnation string) *windowCounts {
	byIncarnation := l.windows[window]
	if byIncarnation == nil {
		byIncarnation = map[string]*windowCounts{}
		l.windows[window] = byIncarnation
	}
	found := byIncarnation[incarnation]
	if found == nil {
		found = &windowCounts{byTenant: map[string]count{}}
		byIncarnation[incarnation] = found
	}
	return found
}

// set changes the count of a tenant. The caller holds the lock.
func (l *Ledger) set(counts *windowCounts, tenant string, value uint64) {
	l.version++
	counts.version = l.version
	counts.byTenant[tenant] = count{value: value, version: l.version}
}

// ChangedSince returns the counts that have changed after the given version, and the present version.
func (l *Ledger) ChangedSince(version uint64) ([]Entry, uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.version == version {
		return nil, version
	}
	var entries []Entry
	for window, byIncarnation := range l.windows {
		for incarnation, counts := range byIncarnation {
			if counts.version <= version {
				continue
			}
			changed := map[string]uint64{}
			for tenant, count := range counts.byTenant {
				if count.version > version {
					changed[tenant] = count.value
				}
			}
			entries = append(entries, Entry{Incarnation: incarnation, Window: window, Counts: changed})
		}
	}
	return entries, l.version
}

// Totals returns the sums of the counts of all incarnations in a window, by tenant.
func (l *Ledger) Totals(window uint64) map[string]uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	totals := map[string]uint64{}
	for _, counts := range l.windows[window] {
		for tenant, count := range counts.byTenant {
			totals[tenant] += count.value
		}
	}
	return totals
}

// DropBefore drops the windows before the given one and ignores further counts of them.
func (l *Ledger) DropBefore(before uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.oldest = max(l.oldest, before)
	for window := range l.windows {
		if window < l.oldest {
			delete(l.windows, window)
		}
	}
}
