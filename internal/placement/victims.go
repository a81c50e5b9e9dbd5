package placement

// unloadTimeCost is the cost of each unload, in seconds of load time: each one delays the load that waits for it by that
// much.
const unloadTimeCost = 0.5

// maxVictims is the number of victims of a server that are considered, one for each bit of a victimSet.
const maxVictims = 64

// victim is a model that may be unloaded at a server.
type victim struct {
	model       int
	cost        float64
	freedMemory memoryUnits
}

// victimSet is a set of positions in a list of victims.
type victimSet uint64

func (s victimSet) contains(position int) bool { return s&(1<<position) != 0 }

// chooseVictims selects victims that together free the needed memory from a list sorted by cost, and returns the cost of
// unloading them. It takes the cheapest until they suffice, and then drops each that the others make unnecessary.
func chooseVictims(victims []victim, need memoryUnits) (chosen victimSet, cost float64, possible bool) {
	if need <= 0 {
		return 0, 0, true
	}
	considered := min(len(victims), maxVictims)
	freed := memoryUnits(0)
	last := 0
	for ; last < considered && freed < need; last++ {
		freed += victims[last].freedMemory
		chosen |= 1 << last
	}
	if freed < need {
		return 0, 0, false
	}
	for position := last - 1; position >= 0; position-- {
		if freed-victims[position].freedMemory >= need {
			freed -= victims[position].freedMemory
			chosen &^= 1 << position
		}
	}
	for position := range last {
		if chosen.contains(position) {
			cost += victims[position].cost + unloadTimeCost
		}
	}
	return chosen, cost, true
}
