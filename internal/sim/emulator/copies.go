package emulator

import (
	"fmt"
	"math"
	"slices"
)

// copyPlacement is the placement of the first copies while it is being worked out, by machine and
// by model.
type copyPlacement struct {
	scenario Scenario
	zones    []int
	loaded   [][]string
	copies   []int
	inZone   []map[int]int
}

// placeInitialCopies returns the references that each machine has loaded at the beginning, by the machine's
// index.
func placeInitialCopies(scenario Scenario) [][]string {
	l := &copyPlacement{scenario: scenario, copies: make([]int, scenario.Models.Count)}
	for index, zone := range scenario.Zones {
		for range zone.Replicas {
			l.zones = append(l.zones, index)
		}
	}
	l.loaded = make([][]string, len(l.zones))
	for range scenario.Models.Count {
		l.inZone = append(l.inZone, map[int]int{})
	}
	for model := range scenario.Models.Count {
		l.place(model)
	}
	l.addExtraCopies()
	l.addAdapters()
	return l.loaded
}

// addExtraCopies fills the busy share of the capacity left after each model's first copy, each time
// with the model whose popularity per copy is highest.
func (l *copyPlacement) addExtraCopies() {
	models := l.scenario.Models
	shares := popularity(models)
	capacity := len(l.zones)*models.PerReplica - models.Count
	extra := int(math.Floor(l.scenario.Placement.FillRatio * float64(capacity)))
	perCopy := func(model int) float64 { return shares[model] / float64(l.copies[model]) }
	for range extra {
		best := -1
		for model := range shares {
			if l.copies[model] < len(l.zones) && (best < 0 || perCopy(model) > perCopy(best)) {
				best = model
			}
		}
		if best < 0 || !l.place(best) {
			break
		}
	}
}

// place gives one more copy of the model to the best machine, and reports whether one had capacity.
func (l *copyPlacement) place(model int) bool {
	best := -1
	for machine := range l.zones {
		if len(l.loaded[machine]) >= l.scenario.Models.PerReplica || slices.Contains(l.loaded[machine], modelName(model)) {
			continue
		}
		if best < 0 || l.isBetter(model, machine, best) {
			best = machine
		}
	}
	if best < 0 {
		l.copies[model] = len(l.zones)
		return false
	}
	l.loaded[best] = append(l.loaded[best], modelName(model))
	l.copies[model]++
	l.inZone[model][l.zones[best]]++
	return true
}

// isBetter compares two machines for a copy: by the copies in their zone, fewest or most as the
// scenario says, then by how many models they hold.
func (l *copyPlacement) isBetter(model, machine, best int) bool {
	here := l.inZone[model][l.zones[machine]]
	there := l.inZone[model][l.zones[best]]
	if here != there {
		return (here < there) == (l.scenario.Placement.Copies == CopiesSpread)
	}
	return len(l.loaded[machine]) < len(l.loaded[best])
}

// addAdapters gives the first model's adapters to the machines that hold it, in turn.
func (l *copyPlacement) addAdapters() {
	models := l.scenario.Models
	placed := 0
	for machine, references := range l.loaded {
		if !slices.Contains(references, modelName(0)) {
			continue
		}
		for number := range min(models.Adapters, models.AdapterCapacity) {
			adapter := (placed+number)%models.Adapters + 1
			l.loaded[machine] = append(l.loaded[machine], fmt.Sprintf("%s/a%d", modelName(0), adapter))
		}
		placed++
	}
}
