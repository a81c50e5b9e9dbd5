package usage

import "sync"

// Entry holds the counts of one incarnation of a data plane in one window, by tenant. They are cumulative.
type Entry struct {
	Incarnation string            `json:"i"`
	Window      uint64            `json:"w"`
	Counts      map[string]uint64 `json:"c"`
}

// Ledger holds counts by window, incarnation and tenant. It is safe for concurrent use.
type Ledger struct {
	lock sync.Mutex
	// version rises with each change of a count.
	version uint64
	windows map[uint64]map[string]*column
	// oldest is the oldest window that is kept; what comes of older ones is ignored.
	oldest uint64
}

// column holds the counts of one incarnation in one window.
type column struct {
	// version is that of the last change.
	version uint64
	counts  map[string]count
}

type count struct {
	value   uint64
	version uint64
}

// NewLedger returns a ledger without counts.
func NewLedger() *Ledger { return &Ledger{windows: map[uint64]map[string]*column{}} }

// Add counts one request.
func (l *Ledger) Add(incarnation string, window uint64, tenant string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if window < l.oldest {
		return
	}
	column := l.column(window, incarnation)
	l.set(column, tenant, column.counts[tenant].value+1)
}

// Merge takes over the counts that are higher than the present ones.
func (l *Ledger) Merge(entries []Entry) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, entry := range entries {
		if entry.Window < l.oldest {
			continue
		}
		column := l.column(entry.Window, entry.Incarnation)
		for tenant, value := range entry.Counts {
			if value > column.counts[tenant].value {
				l.set(column, tenant, value)
			}
		}
	}
}

// column returns the counts of an incarnation in a window. The caller holds the lock.
func (l *Ledger) column(window uint64, incarnation string) *column {
	columns := l.windows[window]
	if columns == nil {
		columns = map[string]*column{}
		l.windows[window] = columns
	}
	found := columns[incarnation]
	if found == nil {
		found = &column{counts: map[string]count{}}
		columns[incarnation] = found
	}
	return found
}

// set changes one count. The caller holds the lock.
func (l *Ledger) set(column *column, tenant string, value uint64) {
	l.version++
	column.version = l.version
	column.counts[tenant] = count{value: value, version: l.version}
}

// ChangedSince returns the counts that have changed after a version, and the version of the last change.
func (l *Ledger) ChangedSince(version uint64) ([]Entry, uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.version == version {
		return nil, version
	}
	var entries []Entry
	for window, columns := range l.windows {
		for incarnation, column := range columns {
			if column.version <= version {
				continue
			}
			changed := map[string]uint64{}
			for tenant, count := range column.counts {
				if count.version > version {
					changed[tenant] = count.value
				}
			}
			entries = append(entries, Entry{Incarnation: incarnation, Window: window, Counts: changed})
		}
	}
	return entries, l.version
}

// Totals returns the counts of all incarnations in a window by tenant.
func (l *Ledger) Totals(window uint64) map[string]uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	totals := map[string]uint64{}
	for _, column := range l.windows[window] {
		for tenant, count := range column.counts {
			totals[tenant] += count.value
		}
	}
	return totals
}

// DropBefore drops windows before one, and ignores what comes of them from now on.
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
