package modelcheck

import "ferryspar/internal/keystore"

// WipeDuringWrite has a member that loses its disk during two changes.
func WipeDuringWrite() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "wipe-during-write", "two changes while a member loses its disk and catches up"
	scenario.Clients = append(scenario.Clients, Client{Machine: "c", Tasks: []Task{CatchUp(1)}})
	scenario.Faults, scenario.FaultyMachines = Faults{Wipes: 1}, []string{"c"}
	return scenario
}

// WipeBetweenWrites restricts WipeDuringWrite: the second change starts after the first is acknowledged, and reaches only the
// member that lost its disk and one other.
func WipeBetweenWrites() Scenario {
	scenario := WipeDuringWrite()
	scenario.Name, scenario.Summary = "wipe-between-writes", "a member loses its disk during a change; another follows"
	scenario.Clients[1] = Client{
		Machine:   "b",
		Reachable: []string{"a", "c"},
		Tasks:     []Task{Change(configurationKey, "y", 1).After("x")},
	}
	return scenario
}

// WipeSeen restricts WipeBetweenWrites: all members that the first change reaches promise it.
func WipeSeen() Scenario {
	scenario := WipeBetweenWrites()
	scenario.Name, scenario.Summary = "wipe-seen", "wipe-between-writes, where each member that may accept the first change promised it"
	scenario.Clients[0].Reachable = []string{"b", "c"}
	return scenario
}

// WipeThreeWriters has a member that loses its disk between the promise and the write of one proposer, while another
// proposer writes under a lower proposal number. A third one follows.
func WipeThreeWriters() Scenario {
	return Scenario{
		Name:       "wipe-three-writers",
		Summary:    "a member loses its disk between promise and write; two more proposers write",
		Membership: threeMembers,
		Newcomers:  []string{"z"},
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "b",
				StartsImmediately: true,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{Change(configurationKey, "y", 1)},
			},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
			{Machine: "z", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "z", 1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"c"},
	}
}

// WipeHalfWritten restricts WipeThreeWriters: the oldest write has reached only b when its proposer stops.
func WipeHalfWritten() Scenario {
	scenario := WipeThreeWriters()
	scenario.Name = "wipe-half-written"
	scenario.Summary = "a member loses its disk between promise and write; an older write reached one member"
	scenario.InitialRegisters = map[string][]keystore.Register{"b": onAllMembers(threeMembers, configurationKey, "o")["b"]}
	scenario.Clients = scenario.Clients[1:]
	return scenario
}
