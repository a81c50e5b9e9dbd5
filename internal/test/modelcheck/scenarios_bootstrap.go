package modelcheck

import "ferryspar/internal/keystore"

var twoMembers = keystore.Membership{Version: 1, Current: []string{"a", "b"}}

// BootstrapFromEmptyDisks has two initial members that were killed before they wrote anything. One loses its disk again.
func BootstrapFromEmptyDisks() Scenario {
	return Scenario{
		Name:            "founding-from-nothing",
		Summary:         "two initial members with empty disks, one loses its disk again; two changes",
		Membership:      twoMembers,
		NotBootstrapped: twoMembers.Current,
		Newcomers:       []string{"y", "z"},
		Clients: []Client{
			{Machine: "a", Tasks: []Task{CatchUp(2)}},
			{Machine: "b", Tasks: []Task{CatchUp(1)}},
			{Machine: "y", Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "z", Tasks: []Task{Change(configurationKey, "y", 1).After("x")}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// BootstrapHalfWritten has one initial member that votes and then loses its disk, two with empty disks, and two changes.
func BootstrapHalfWritten() Scenario {
	return Scenario{
		Name:            "founding-half-written",
		Summary:         "one initial member votes and loses its disk while two others bootstrap; two changes",
		Membership:      threeMembers,
		NotBootstrapped: []string{"b", "c"},
		Newcomers:       []string{"y", "z"},
		Clients: []Client{
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
			{Machine: "b", Tasks: []Task{CatchUp(1)}},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
			{Machine: "y", Reachable: []string{"a", "b"}, Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "z", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "y", 1).After("x")}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// BootstrapWithWipe has an initial member that loses its disk before the last initial member votes. One writer counts
// promises from the lost disk, another one those from its replacement.
func BootstrapWithWipe() Scenario {
	return Scenario{
		Name:            "founding-with-wipe",
		Summary:         "an initial member loses its disk before the last one has bootstrapped; three writers",
		Membership:      threeMembers,
		NotBootstrapped: []string{"c"},
		Newcomers:       []string{"z", "zz"},
		Clients: []Client{
			{
				Machine:           "z",
				StartsImmediately: true,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "b",
				StartsImmediately: true,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{Change(configurationKey, "y", 1)},
			},
			{Machine: "zz", Reachable: []string{"b", "c"}, Tasks: []Task{Change(configurationKey, "z", 1).After("y")}},
			{
				Machine:           "c",
				StartsImmediately: true,
				Membership:        threeMembers,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{CatchUp(1)},
			},
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// BootstrapWithUnreachableMember has an initial member that loses its disk and another one that never voted. Neither reaches
// the member that holds the acknowledged change.
func BootstrapWithUnreachableMember() Scenario {
	return Scenario{
		Name:            "founding-without-one",
		Summary:         "two initial members without a vote do not reach the third, which holds a change",
		Membership:      threeMembers,
		NotBootstrapped: []string{"c"},
		Newcomers:       []string{"y", "z"},
		Clients: []Client{
			{
				Machine:           "y",
				StartsImmediately: true,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{Machine: "z", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "y", 1).After("x")}},
			{Machine: "a", Reachable: []string{"a", "c"}, Tasks: []Task{CatchUp(1)}},
			{
				Machine:           "c",
				StartsImmediately: true,
				Membership:        threeMembers,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{CatchUp(1)},
			},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// DiskLossAfterBootstrap loses two of three disks after the bootstrap was completed. The system must not be bootstrapped
// again, as acknowledged changes may have been on only those two disks.
func DiskLossAfterBootstrap() Scenario {
	return Scenario{
		Name:               "founding-long-ago",
		Summary:            "two of three disks are lost after the bootstrap was completed",
		Membership:         threeMembers,
		BootstrapCompleted: true,
		Newcomers:          []string{"y", "z"},
		ForgetsMembership:  true,
		Clients: []Client{
			{
				Machine:           "y",
				StartsImmediately: true,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{Machine: "z", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "y", 1).After("x")}},
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 2},
		FaultyMachines: []string{"a", "b"},
	}
}

// BootstrapMembershipChanged is DiskLossAfterBootstrap where no initial member knows that the bootstrap was completed, but the
// membership has changed since.
func BootstrapMembershipChanged() Scenario {
	scenario := DiskLossAfterBootstrap()
	scenario.Name, scenario.Summary = "founding-list-changed", "two of three disks are lost after the initial membership was changed"
	scenario.Membership = keystore.Membership{Version: 3, Current: threeMembers.Current}
	scenario.BootstrapCompleted, scenario.ForgetsMembership = false, false
	return scenario
}
