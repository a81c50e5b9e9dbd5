package modelcheck

import "ferryspar/internal/keystore"

var five = keystore.Membership{Version: 1, Current: []string{"a", "b", "c", "d", "e"}}

// FiveWithOneCommonMember is two proposers among five members that meet at c, which crashes.
func FiveWithOneCommonMember() Scenario {
	return Scenario{
		Name:       "five-meet-at-one",
		Summary:    "two changes among five members that meet at c, which crashes; unsynced writes lost or kept",
		Membership: five,
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b", "c"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "e",
				StartsImmediately: true,
				Reachable:         []string{"c", "d", "e"},
				Tasks:             []Task{Change(configurationKey, "y", 1)},
			},
		},
		Faults:         Faults{Crashes: 1},
		FaultyMachines: []string{"c"},
		SeparatesSync:  true,
	}
}

// FiveWithWipe is the same where c loses its disk and catches up from three of the four others.
func FiveWithWipe() Scenario {
	scenario := FiveWithOneCommonMember()
	scenario.Name, scenario.Summary = "five-with-wipe", "two changes among five members that meet at c, which loses its disk"
	scenario.SeparatesSync = false
	scenario.Faults = Faults{Wipes: 1}
	scenario.Clients = append(scenario.Clients, Client{
		Machine:   "c",
		Reachable: []string{"b", "d", "e"},
		Tasks:     []Task{CatchUp(1)},
	})
	return scenario
}

// FiveTwoWipes is the loss of two of five disks, one after the other, while a value is written.
func FiveTwoWipes() Scenario {
	scenario := FiveWithWipe()
	scenario.Name, scenario.Summary = "five-two-wipes", "two changes among five members, of which c and d lose their disks"
	scenario.Faults, scenario.FaultyMachines = Faults{Wipes: 2}, []string{"c", "d"}
	scenario.Clients = append(scenario.Clients, Client{
		Machine:   "d",
		Reachable: []string{"a", "b", "e"},
		Tasks:     []Task{CatchUp(1)},
	})
	return scenario
}

// CrashAndWipe is two kinds of fault at once: b crashes with unsynced writes, and c loses its disk, during two changes.
func CrashAndWipe() Scenario {
	return Scenario{
		Name:       "crash-and-wipe",
		Summary:    "two changes; b crashes with unsynced writes and c loses its disk",
		Membership: three,
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "b",
				StartsImmediately: true,
				Reachable:         []string{"b", "c"},
				Tasks:             []Task{Change(configurationKey, "y", 1)},
			},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Crashes: 1, Wipes: 1},
		FaultyMachines: []string{"b", "c"},
		SeparatesSync:  true,
	}
}

// TwoJoining is a joint membership that is taken back, and a second one with another newcomer, while both newcomers catch up.
func TwoJoining() Scenario {
	second := keystore.Membership{Version: 4, Current: joint.Current, Next: []string{"a", "b", "e"}}
	final := keystore.Membership{Version: 5, Current: second.Next}
	return Scenario{
		Name:             "two-joining",
		Summary:          "the change to d is taken back and one to e completed, while both catch up",
		Membership:       joint,
		Newcomers:        []string{"d", "e"},
		InitialRegisters: jointOnCurrentMembers(),
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b", "e"},
				Tasks: []Task{
					RollBackMembership(1),
					ChangeMembership(second, "", 1),
					ChangeMembership(final, "e", 1),
				},
			},
			{Machine: "c", Reachable: []string{"a", "c", "d"}, Tasks: []Task{ChangeMembership(replaced, "d", 1)}},
			{Machine: "d", Reachable: []string{"a", "c"}, Tasks: []Task{CatchUp(1)}},
			{Machine: "e", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
		},
	}
}

// TwoJoiningTwice is the same with a second attempt to take the first change back.
func TwoJoiningTwice() Scenario {
	scenario := TwoJoining()
	scenario.Name, scenario.Summary = "two-joining-twice", "the same with a second attempt to take the change to d back"
	scenario.Clients[0].Tasks[0].Attempts++
	return scenario
}
