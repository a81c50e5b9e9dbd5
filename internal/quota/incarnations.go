package quota

import "time"

// incarnations tells the present process of each lending data plane from the earlier ones.
type incarnations struct {
	// current holds the present incarnation of each data plane.
	current map[string]string
	// supersededAt holds when earlier incarnations were superseded.
	supersededAt map[string]time.Time
}

func newIncarnations() incarnations {
	return incarnations{current: map[string]string{}, supersededAt: map[string]time.Time{}}
}

// isCurrent reports whether an incarnation is the present one of its data plane.
func (i *incarnations) isCurrent(dataPlane, incarnation string) bool {
	current, known := i.current[dataPlane]
	return known && current == incarnation
}

// isSuperseded reports whether a request of an incarnation, with a stamp of the given time, was delayed on its way until
// a successor of the incarnation had sent one.
func (i *incarnations) isSuperseded(incarnation string, stampedAt time.Time) bool {
	supersededAt, former := i.supersededAt[incarnation]
	return former && !stampedAt.After(supersededAt)
}

// replace makes an incarnation the present one of its data plane and returns the one before, if one is known.
func (i *incarnations) replace(dataPlane, incarnation string, now time.Time) (former string, known bool) {
	former, known = i.current[dataPlane]
	if known {
		i.supersededAt[former] = now
	}
	i.current[dataPlane] = incarnation
	return former, known
}

// dropSuperseded drops the incarnations that were superseded before a moment.
func (i *incarnations) dropSuperseded(before time.Time) {
	for incarnation, supersededAt := range i.supersededAt {
		if supersededAt.Before(before) {
			delete(i.supersededAt, incarnation)
		}
	}
}
