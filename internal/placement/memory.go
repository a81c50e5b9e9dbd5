package placement

import "math"

// memoryUnits is an amount of a replica's memory in whole units of 1/unitsPerMb MB.
//
// A replica accepts a load by its own sum of floating-point megabytes, added in an order that is not known here, so a
// set of sizes that fits exactly may exceed the limit there by rounding errors. Sizes are therefore rounded up to whole
// units and the capacity is rounded down. A unit is a power of two, so sums of units have no rounding error, not even as
// float64 (below maxMemory). As rounding is monotone, the replica's sum of the smaller, unrounded sizes never exceeds the
// sum of units, in whatever order it adds: what fits here fits there. Three models of 65099.99999999999 MB fit 195300 MB
// in any order; three of 66.66666666666667 MB never fit 200 MB, which their exact sum exceeds. A load that is rejected
// only because of the rounding lacks less than one unit, about a byte, per reference.
type memoryUnits int64

const (
	unitsPerMb = 1 << 20
	// maxMemory limits all amounts, so that sums do not overflow. A larger size, or NaN, counts as maxMemory+1 and so
	// never fits.
	maxMemory memoryUnits = 1 << 50
	// unknownSize is the size of a reference that the configuration gives no size.
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

// loadedSize returns the memory that an item occupies at a server that has or may have it loaded: the larger of the
// configured size and the one recorded from earlier configurations. An item without either counts as more than the whole
// capacity, so that nothing is loaded beside it. This applies to adapters too: the sizes of other adapters tell nothing
// about an adapter of an unknown model.
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

// addedSize returns by how much the load of an item that is not certainly loaded raises the memory used at a server: 0 if
// the item may be loaded already, because memoryUsed includes it and a replica loads an item only once.
func (p *planner) addedSize(state *serverState, number int) memoryUnits {
	if state.maybeLoaded(number) {
		return 0
	}
	return p.items.at(number).size
}

// excess returns by how much the capacity of a server is exceeded if an item is loaded beside all that may be loaded
// there. It is 0 or less if the item fits.
func (p *planner) excess(state *serverState, number int) memoryUnits {
	return state.memoryUsed + p.addedSize(state, number) - p.capacity
}

// fits reports whether an item fits beside all that may be loaded at a server. An adapter also needs a free adapter slot,
// and its model must certainly be loaded. An unconfigured item never fits.
func (p *planner) fits(state *serverState, number int) bool {
	if !p.items.isConfigured(number) || p.excess(state, number) > 0 {
		return false
	}
	item := p.items.at(number)
	return !item.adapter || state.hasLoaded(item.model) && p.hasAdapterSlot(state, number)
}

// hasAdapterSlot reports whether a server has a slot for an adapter beside all adapters that may be loaded there.
func (p *planner) hasAdapterSlot(state *serverState, adapter int) bool {
	if state.maybeLoaded(adapter) {
		return state.adapterSlotsUsed <= p.runtime.AdapterCapacity
	}
	return state.adapterSlotsUsed < p.runtime.AdapterCapacity
}

// load plans the load of an item at a server and reports whether it did. Every load of a plan passes through it, so that
// no step can load an item that does not fit beside all that may be loaded at the server, or plan two actions for a server.
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
