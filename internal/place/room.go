package place

import "math"

// roomSize is an amount of room in whole units of 1/unitsPerMb MB.
//
// Replicas judge a load by their own sum of floating-point megabytes, in an order nobody else knows,
// so an exact fit may miss the bound there by rounding. Sizes are therefore rounded up to whole units
// and the room down. A unit is a power of two, so that sums of units have no rounding error, also not
// as float64 (below maxRoom). As rounding is monotone, the replica's sum of the smaller, unrounded
// sizes is never above the sum of units, in whatever order it adds: what fits here fits there. Three
// models of 65099.99999999999 MB fit 195300 MB in any order; three of 66.66666666666667 MB never fit
// 200 MB, which their exact sum exceeds. What this refuses needlessly is less than one unit, about a
// byte, for each reference.
type roomSize int64

const (
	unitsPerMb = 1 << 20
	// maxRoom bounds all amounts, so that sums do not overflow. What is larger, or no number, counts
	// as maxRoom+1 where it is a size, and so never fits.
	maxRoom roomSize = 1 << 50
	// unknownSize marks a reference that the configuration gives no size.
	unknownSize roomSize = -1
)

// sizeOf is the size of a model or adapter of so many MB, rounded up.
func sizeOf(megabytes float64) roomSize {
	units := math.Ceil(megabytes * unitsPerMb)
	if !(units <= float64(maxRoom)) { // also where it is no number
		return maxRoom + 1
	}
	return roomSize(max(units, 0))
}

// roomOf is the room of a replica of so many MB, rounded down.
func roomOf(megabytes float64) roomSize {
	units := math.Floor(megabytes * unitsPerMb)
	if math.IsNaN(units) {
		return 0
	}
	return roomSize(min(max(units, 0), float64(maxRoom)))
}

// heldSize is what a reference counts that a server holds or may hold: the larger of the size in the
// configuration and the one remembered of earlier configurations. Without either it counts as more
// than the whole room, so that nothing is loaded beside it. That holds for adapters too: those
// known say nothing about the size of one of a model that is not known.
func (p *planner) heldSize(state *serverState, number int) roomSize {
	size := p.item(number).size
	if state.remembered == nil && size != unknownSize {
		return size
	}
	if earlier, known := state.remembered[p.item(number).name]; known {
		return max(size, earlier)
	}
	if size == unknownSize {
		return p.room + 1
	}
	return size
}

// addedSize is by how much the load of a model or adapter that is not surely held raises what a server
// may hold: by nothing where it may be held already, because a replica loads it only once.
func (p *planner) addedSize(state *serverState, number int) roomSize {
	if state.mayHold(number) {
		return 0
	}
	return p.item(number).size
}

// excess is by how much the room of a server is exceeded if a model is loaded beside all that it
// may hold; 0 or less where the model fits.
func (p *planner) excess(state *serverState, model int) roomSize {
	return state.used + p.addedSize(state, model) - p.room
}

// fits reports whether a model or adapter may be loaded beside all that a server may hold. An adapter
// also needs a place, and its model surely held. What the configuration does not name never fits.
func (p *planner) fits(state *serverState, number int) bool {
	if !p.listed(number) || p.excess(state, number) > 0 {
		return false
	}
	item := &p.catalog.items[number]
	return !item.adapter || state.holds(item.model) && p.hasPlace(state, number)
}

// hasPlace reports whether an adapter has a place beside all that a server may hold.
func (p *planner) hasPlace(state *serverState, adapter int) bool {
	if state.mayHold(adapter) {
		return state.places <= p.runtime.AdapterCapacity
	}
	return state.places < p.runtime.AdapterCapacity
}

// listed reports whether the configuration names a model or adapter: only then can it be asked for.
func (p *planner) listed(number int) bool { return number < len(p.catalog.items) }

// load loads a model or adapter at a server. Every load of a plan goes through it; it refuses one
// that does not fit beside all that the server may hold, or where the plan may not act.
func (p *planner) load(state *serverState, number int, why string) bool {
	if !state.idle() || state.holds(number) || !p.fits(state, number) {
		return false
	}
	item := p.item(number)
	p.view.Loading[item.key]++
	if !item.adapter {
		p.setIntent(state, "")
	}
	p.record(state, Action{
		Load:   true,
		Model:  item.name,
		Stored: !item.adapter && !state.server.Held[item.name],
		Why:    why,
	})
	return true
}
