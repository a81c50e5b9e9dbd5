package placement

import "math"

// memoryUnits is an amount of room in whole units of 1/unitsPerMb MB.
//
// Replicas judge a load by their own sum of floating-point megabytes, in an order nobody else knows,
// so an exact fit may miss the bound there by rounding. Sizes are therefore rounded up to whole units
// and the room down. A unit is a power of two, so that sums of units have no rounding error, also not
// as float64 (below maxMemory). As rounding is monotone, the replica's sum of the smaller, unrounded
// sizes is never above the sum of units, in whatever order it adds: what fits here fits there. Three
// models of 65099.99999999999 MB fit 195300 MB in any order; three of 66.66666666666667 MB never fit
// 200 MB, which their exact sum exceeds. What this refuses needlessly is less than one unit, about a
// byte, for each reference.
type memoryUnits int64

const (
	unitsPerMb = 1 << 20
	// maxMemory bounds all amounts, so that sums do not overflow. What is larger, or no number, counts
	// as maxMemory+1 where it is a size, and so never fits.
	maxMemory memoryUnits = 1 << 50
	// unknownSize marks a reference that the configuration gives no size.
	unknownSize memoryUnits = -1
)

// sizeOf is the size of a model or adapter of so many MB, rounded up.
func sizeOf(megabytes float64) memoryUnits {
	units := math.Ceil(megabytes * unitsPerMb)
	if !(units <= float64(maxMemory)) { // also where it is no number
		return maxMemory + 1
	}
	return memoryUnits(max(units, 0))
}

// capacityOf is the room of a replica of so many MB, rounded down.
func capacityOf(megabytes float64) memoryUnits {
	units := math.Floor(megabytes * unitsPerMb)
	if math.IsNaN(units) {
		return 0
	}
	return memoryUnits(min(max(units, 0), float64(maxMemory)))
}

// loadedSize is what a reference counts that a server holds or may hold: the larger of the size in the
// configuration and the one remembered of earlier configurations. Without either it counts as more
// than the whole room, so that nothing is loaded beside it. That holds for adapters too: those
// known say nothing about the size of one of a model that is not known.
func (p *planner) loadedSize(state *serverState, number int) memoryUnits {
	size := p.item(number).size
	if state.pastSizes == nil && size != unknownSize {
		return size
	}
	if earlier, known := state.pastSizes[p.item(number).name]; known {
		return max(size, earlier)
	}
	if size == unknownSize {
		return p.capacity + 1
	}
	return size
}

// addedSize is by how much the load of a model or adapter that is not surely held raises what a server
// may hold: by nothing where it may be held already, because a replica loads it only once.
func (p *planner) addedSize(state *serverState, number int) memoryUnits {
	if state.maybeLoaded(number) {
		return 0
	}
	return p.item(number).size
}

// excess is by how much the room of a server is exceeded if a model is loaded beside all that it
// may hold; 0 or less where the model fits.
func (p *planner) excess(state *serverState, model int) memoryUnits {
	return state.memoryUsed + p.addedSize(state, model) - p.capacity
}

// fits reports whether a model or adapter may be loaded beside all that a server may hold. An adapter
// also needs a place, and its model surely held. What the configuration does not name never fits.
func (p *planner) fits(state *serverState, number int) bool {
	if !p.isConfigured(number) || p.excess(state, number) > 0 {
		return false
	}
	item := &p.catalog.items[number]
	return !item.adapter || state.hasLoaded(item.model) && p.hasAdapterSlot(state, number)
}

// hasAdapterSlot reports whether an adapter has a place beside all that a server may hold.
func (p *planner) hasAdapterSlot(state *serverState, adapter int) bool {
	if state.maybeLoaded(adapter) {
		return state.adapterSlotsUsed <= p.runtime.AdapterCapacity
	}
	return state.adapterSlotsUsed < p.runtime.AdapterCapacity
}

// listed reports whether the configuration names a model or adapter: only then can it be asked for.
func (p *planner) isConfigured(number int) bool { return number < len(p.catalog.items) }

// load loads a model or adapter at a server. Every load of a plan goes through it; it refuses one
// that does not fit beside all that the server may hold, or where the plan may not act.
func (p *planner) load(state *serverState, number int, reason string) bool {
	if !state.isIdle() || state.hasLoaded(number) || !p.fits(state, number) {
		return false
	}
	item := p.item(number)
	p.view.Loading[item.key]++
	if !item.adapter {
		p.setIntent(state, "")
	}
	p.recordAction(state, Action{
		Load:      true,
		Model:     item.name,
		FromStore: !item.adapter && !state.server.OnDisk[item.name],
		Reason:    reason,
	})
	return true
}
