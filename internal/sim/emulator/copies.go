package emulator

import (
	"fmt"
	"math"
	"slices"
)

// copyPlacement is the state of the placement of the initial copies. zones and loaded are indexed by machine,
// copies and inZone by model; inZone counts the model's copies by zone.
type copyPlacement struct {
	scenario Scenario
	zones    []int
	loaded   [][]string
	copies   []int
	inZone   []map[int]int
}

// placeInitialCopies returns the references that each machine has loaded at the beginning, by the
// machine's index.
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

// addExtraCopies fills FillRatio of the capacity that is left after one copy of each model, each time with
// the model whose popularity per copy is highest.
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

// place adds a copy of the model to the best machine and reports whether any machine had capacity.
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

// isBetter reports whether the machine is a better place for a copy than best: by the model's copies in the
// zone, fewest or most as the scenario says, then by the fewest loaded references.
func (l *copyPlacement) isBetter(model, machine, best int) bool {
	here := l.inZone[model][l.zones[machine]]
	there := l.inZone[model][l.zones[best]]
	if here != there {
		return (here < there) == (l.scenario.Placement.Copies == CopiesSpread)
	}
	return len(l.loaded[machine]) < len(l.loaded[best])
}

// addAdapters loads adapters of the first model on the machines that have it, round-robin.
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
