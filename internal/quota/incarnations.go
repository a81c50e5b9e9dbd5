package quota

import "time"

// incarnations distinguishes the current process of each lending data plane from its earlier ones.
type incarnations struct {
	// current holds the current incarnation of each data plane.
	current map[string]string
	// supersededAt holds when each earlier incarnation was superseded.
	supersededAt map[string]time.Time
}

// newIncarnations returns an empty record.
func newIncarnations() incarnations {
	return incarnations{current: map[string]string{}, supersededAt: map[string]time.Time{}}
}

// isCurrent reports whether an incarnation is the current one of its data plane.
func (i *incarnations) isCurrent(dataPlane, incarnation string) bool {
	current, known := i.current[dataPlane]
	return known && current == incarnation
}

// isSuperseded reports whether a request is a delayed one of an earlier incarnation: it has a stamp from before the incarnation
// was superseded.
func (i *incarnations) isSuperseded(incarnation string, stampedAt time.Time) bool {
	supersededAt, former := i.supersededAt[incarnation]
	return former && !stampedAt.After(supersededAt)
}

// replace makes an incarnation the current one of its data plane and returns the previous one, if one is known.
func (i *incarnations) replace(dataPlane, incarnation string, now time.Time) (former string, known bool) {
	former, known = i.current[dataPlane]
	if known {
		i.supersededAt[former] = now
	}
	i.current[dataPlane] = incarnation
	return former, known
}

// dropSuperseded drops the incarnations that were superseded before the given time.
func (i *incarnations) dropSuperseded(before time.Time) {
	for incarnation, supersededAt := range i.supersededAt {
		if supersededAt.Before(before) {
			delete(i.supersededAt, incarnation)
		}
	}
}
