package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

func compareNames(one, other string) int { return cmp.Compare(one, other) }

type layoutOfCopies struct {
	scenario Scenario
	areas    []int
	held     [][]string
	copies   []int
	inArea   []map[int]int
}

func spreadCopies(scenario Scenario) [][]string {
	l := &layoutOfCopies{scenario: scenario, copies: make([]int, scenario.Models.Count)}
	for index, area := range scenario.Areas {
		for range area.Replicas {
			l.areas = append(l.areas, index)
		}
	}
	l.held = make([][]string, len(l.areas))
	for range scenario.Models.Count {
		l.inArea = append(l.inArea, map[int]int{})
	}
	for model := range scenario.Models.Count {
		l.place(model)
	}
	shares := popularity(scenario.Models)
	extra := int(math.Floor(scenario.Placement.BusyShare * float64(len(l.areas)*scenario.Models.PerReplica-scenario.Models.Count)))
	for range extra {
		best := -1
		for model := range shares {
			if l.copies[model] < len(l.areas) && (best < 0 || shares[model]/float64(l.copies[model]) > shares[best]/float64(l.copies[best])) {
				best = model
			}
		}
		if best < 0 || !l.place(best) {
			break
		}
	}
	l.adapt()
	return l.held
}

func (l *layoutOfCopies) place(model int) bool {
	best := -1
	for machine := range l.areas {
		if len(l.held[machine]) >= l.scenario.Models.PerReplica || slices.Contains(l.held[machine], modelName(model)) {
			continue
		}
		if best < 0 || l.better(model, machine, best) {
			best = machine
		}
	}
	if best < 0 {
		l.copies[model] = len(l.areas)
		return false
	}
	l.held[best] = append(l.held[best], modelName(model))
	l.copies[model]++
	l.inArea[model][l.areas[best]]++
	return true
}

func (l *layoutOfCopies) better(model, machine, best int) bool {
	here, there := l.inArea[model][l.areas[machine]], l.inArea[model][l.areas[best]]
	if here != there {
		return (here < there) == (l.scenario.Placement.Copies == CopiesSpread)
	}
	return len(l.held[machine]) < len(l.held[best])
}

func (l *layoutOfCopies) adapt() {
	models := l.scenario.Models
	placed := 0
	for machine, references := range l.held {
		if !slices.Contains(references, modelName(0)) {
			continue
		}
		for number := range min(models.Adapters, models.AdapterCapacity) {
			adapter := (placed+number)%models.Adapters + 1
			l.held[machine] = append(l.held[machine], fmt.Sprintf("%s/a%d", modelName(0), adapter))
		}
		placed++
	}
}
