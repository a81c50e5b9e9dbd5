package modelcheck

import "ferryspar/internal/keystore"

var two = keystore.Membership{Version: 1, Current: []string{"a", "b"}}

// BootstrapFromEmptyDisks is two initial members that were killed before they wrote anything; one loses its disk once more.
func BootstrapFromEmptyDisks() Scenario {
	return Scenario{
		Name:            "founding-from-nothing",
		Summary:         "two founders with empty disks, one loses its disk again; two changes",
		Membership:      two,
		NotBootstrapped: two.Current,
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

// BootstrapHalfWritten is one initial member that votes, which loses its disk, and two with empty disks; two changes.
func BootstrapHalfWritten() Scenario {
	return Scenario{
		Name:            "founding-half-written",
		Summary:         "one founder votes and loses its disk while two found with it; two changes",
		Membership:      three,
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

// BootstrapWithWipe is an initial member that loses its disk before the last of them votes: promises of the lost disk are
// counted by one writer, promises of its successor by another.
func BootstrapWithWipe() Scenario {
	return Scenario{
		Name:            "founding-with-wipe",
		Summary:         "a founder loses its disk before the last one has founded; three writers",
		Membership:      three,
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
				Membership:        three,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{CatchUp(1)},
			},
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// BootstrapWithUnreachableMember is an initial member that loses its disk beside one that never voted, while neither reaches the one
// that holds what was acknowledged.
func BootstrapWithUnreachableMember() Scenario {
	return Scenario{
		Name:            "founding-without-one",
		Summary:         "two founders without a vote do not reach the third, which holds a change",
		Membership:      three,
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
				Membership:        three,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{CatchUp(1)},
			},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"a"},
	}
}

// DiskLossAfterBootstrap is a system in which the bootstrap was completed and two of three disks are lost: it must not be
// bootstrapped again, as what was acknowledged may have stood on those two alone.
func DiskLossAfterBootstrap() Scenario {
	return Scenario{
		Name:               "founding-long-ago",
		Summary:            "two of three disks are lost after the founding was completed",
		Membership:         three,
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

// BootstrapMembershipChanged is the same where no initial member saw the end of the bootstrap, but the membership was
// changed since.
func BootstrapMembershipChanged() Scenario {
	scenario := DiskLossAfterBootstrap()
	scenario.Name, scenario.Summary = "founding-list-changed", "two of three disks are lost after the founding list was changed"
	scenario.Membership = keystore.Membership{Version: 3, Current: three.Current}
	scenario.BootstrapCompleted, scenario.ForgetsMembership = false, false
	return scenario
}
