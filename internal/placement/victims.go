package placement

// unloadTimeCost is the cost of each unload, in seconds of load time: a load that has to wait for two unloads
// begins that much later than one that waits for one.
const unloadTimeCost = 0.5

// maxVictims is how many victims of a server are considered at most.
const maxVictims = 64

// victim is a model that could be unloaded.
type victim struct {
	model       int
	cost        float64
	freedMemory memoryUnits
}

// victimSet is a set of positions in a list of victims.
type victimSet uint64

func (s victimSet) contains(position int) bool { return s&(1<<position) != 0 }

// chooseVictims returns victims, of a list sorted by cost, that together free the needed memory, with what it
// costs to unload them: the cheapest first, without those that the later ones make needless.
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
