package modelcheck

import "ferryspar/internal/keystore"

var fiveMembers = keystore.Membership{Version: 1, Current: []string{"a", "b", "c", "d", "e"}}

// FiveWithOneCommonMember has two proposers among five members. The only member that both reach, c, crashes.
func FiveWithOneCommonMember() Scenario {
	return Scenario{
		Name:       "five-meet-at-one",
		Summary:    "two changes among five members with the common member c, which crashes; unsynced writes lost or kept",
		Membership: fiveMembers,
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

// FiveWithWipe is FiveWithOneCommonMember where c loses its disk and catches up from three of the four others.
func FiveWithWipe() Scenario {
	scenario := FiveWithOneCommonMember()
	scenario.Name, scenario.Summary = "five-with-wipe", "two changes among five members with the common member c, which loses its disk"
	scenario.SeparatesSync = false
	scenario.Faults = Faults{Wipes: 1}
	scenario.Clients = append(scenario.Clients, Client{
		Machine:   "c",
		Reachable: []string{"b", "d", "e"},
		Tasks:     []Task{CatchUp(1)},
	})
	return scenario
}

// FiveTwoWipes loses two of five disks, one after the other, while a value is written.
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

// CrashAndWipe has two kinds of faults during two changes: b crashes with unsynced writes, and c loses its disk.
func CrashAndWipe() Scenario {
	return Scenario{
		Name:       "crash-and-wipe",
		Summary:    "two changes; b crashes with unsynced writes and c loses its disk",
		Membership: threeMembers,
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

// TwoJoining rolls a joint membership back and starts a second one with another newcomer, while both newcomers catch up.
func TwoJoining() Scenario {
	second := keystore.Membership{Version: 4, Current: jointMembership.Current, Next: []string{"a", "b", "e"}}
	final := keystore.Membership{Version: 5, Current: second.Next}
	return Scenario{
		Name:             "two-joining",
		Summary:          "the change to d is rolled back and one to e completed, while both catch up",
		Membership:       jointMembership,
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
			{Machine: "c", Reachable: []string{"a", "c", "d"}, Tasks: []Task{ChangeMembership(replacedMembership, "d", 1)}},
			{Machine: "d", Reachable: []string{"a", "c"}, Tasks: []Task{CatchUp(1)}},
			{Machine: "e", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
		},
	}
}

// TwoJoiningTwice is TwoJoining with a second attempt to roll the first change back.
func TwoJoiningTwice() Scenario {
	scenario := TwoJoining()
	scenario.Name, scenario.Summary = "two-joining-twice", "two-joining with a second attempt to roll the change to d back"
	scenario.Clients[0].Tasks[0].Attempts++
	return scenario
}
