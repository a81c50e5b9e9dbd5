package placement

import "math"

// memoryUnits is an amount of a replica's memory in whole units of 1/unitsPerMb MB.
//
// Replicas judge a load by their own sum of floating-point megabytes, in an order nobody else knows,
// so an exact fit may exceed the limit there by rounding. Sizes are therefore rounded up to whole units
// and the capacity down. A unit is a power of two, so that sums of units have no rounding error, also not
// as float64 (below maxMemory). As rounding is monotone, the replica's sum of the smaller, unrounded
// sizes is never above the sum of units, in whatever order it adds: what fits here fits there. Three
// models of 65099.99999999999 MB fit 195300 MB in any order; three of 66.66666666666667 MB never fit
// 200 MB, which their exact sum exceeds. A load that is refused needlessly lacks less than one unit,
// about a byte, for each reference.
type memoryUnits int64

const (
	unitsPerMb = 1 << 20
	// maxMemory limits all amounts, so that sums do not overflow. A larger size, or one that is not a
	// number, counts as maxMemory+1 and so never fits.
	maxMemory memoryUnits = 1 << 50
	// unknownSize marks a reference that the configuration gives no size.
	unknownSize memoryUnits = -1
)

// sizeOf converts the size of a model or adapter from MB, rounding up.
func sizeOf(megabytes float64) memoryUnits {
	units := math.Ceil(megabytes * unitsPerMb)
	if !(units <= float64(maxMemory)) { // true for NaN too
		return maxMemory + 1
	}
	return memoryUnits(max(units, 0))
}

// capacityOf converts the memory of a replica from MB, rounding down.
func capacityOf(megabytes float64) memoryUnits {
	units := math.Floor(megabytes * unitsPerMb)
	if math.IsNaN(units) {
		return 0
	}
	return memoryUnits(min(max(units, 0), float64(maxMemory)))
}

// loadedSize is the memory that a reference occupies at a server that has or may have it loaded: the larger
// of the configured size and the remembered one of earlier configurations. Without either it counts as
// more than the whole capacity, so that nothing is loaded beside it. That holds for adapters too: the
// sizes of other adapters say nothing about one whose model is unknown.
func (p *planner) loadedSize(state *serverState, number int) memoryUnits {
	size := p.items.at(number).size
	if state.pastSizes == nil && size != unknownSize {
		return size
	}
	if earlier, known := state.pastSizes[p.items.at(number).name]; known {
		return max(size, earlier)
	}
	if size == unknownSize {
		return p.capacity + 1
	}
	return size
}

// addedSize is by how much the load of an item that is not certainly loaded raises the memory used at a
// server: by nothing if the item may be loaded already, because a replica loads it only once.
func (p *planner) addedSize(state *serverState, number int) memoryUnits {
	if state.maybeLoaded(number) {
		return 0
	}
	return p.items.at(number).size
}

// excess is by how much the capacity of a server is exceeded if an item is loaded beside all that may be
// loaded there; 0 or less if the item fits.
func (p *planner) excess(state *serverState, number int) memoryUnits {
	return state.memoryUsed + p.addedSize(state, number) - p.capacity
}

// fits reports whether an item may be loaded beside all that may be loaded at a server. An adapter also
// needs a free adapter slot and its model certainly loaded. An unconfigured item never fits.
func (p *planner) fits(state *serverState, number int) bool {
	if !p.items.isConfigured(number) || p.excess(state, number) > 0 {
		return false
	}
	item := p.items.at(number)
	return !item.adapter || state.hasLoaded(item.model) && p.hasAdapterSlot(state, number)
}

// hasAdapterSlot reports whether an adapter has a slot beside all adapters that may be loaded at a server.
func (p *planner) hasAdapterSlot(state *serverState, adapter int) bool {
	if state.maybeLoaded(adapter) {
		return state.adapterSlotsUsed <= p.runtime.AdapterCapacity
	}
	return state.adapterSlotsUsed < p.runtime.AdapterCapacity
}

// load orders the load of an item at a server and reports whether it did. Every load of a plan passes
// through it, so that no step can load an item that does not fit beside all that may be loaded at the
// server, nor act twice at one server.
func (p *planner) load(state *serverState, number int, reason string) bool {
	if !state.isIdle() || state.hasLoaded(number) || !p.fits(state, number) {
		return false
	}
	item := p.items.at(number)
	onDisk := state.server.OnDisk[item.name]
	p.view.Loading[item.key]++
	if !item.adapter {
		p.setIntent(state, "")
	}
	p.recordAction(state, Action{
		Load:          true,
		Model:         item.name,
		FromStore:     !item.adapter && !onDisk,
		MaybeFromDisk: !item.adapter && !onDisk && state.server.MaybeOnDisk[item.name],
		Reason:        reason,
	})
	return true
}
