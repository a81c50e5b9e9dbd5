package explore

import "ferryspar/internal/keystore"

var two = keystore.Members{Number: 1, Present: []string{"a", "b"}}

// FoundingFromNothing is two founders that were killed before they wrote anything; one loses its disk once more.
func FoundingFromNothing() Scenario {
	return Scenario{
		Name: "founding-from-nothing", Summary: "two founders with empty disks, one loses its disk again; two changes",
		Members: two, Unborn: two.Present, Newcomers: []string{"y", "z"},
		Clients: []Client{
			{Machine: "a", Tasks: []Task{CatchUp(2)}},
			{Machine: "b", Tasks: []Task{CatchUp(1)}},
			{Machine: "y", Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "z", Tasks: []Task{Change(key, "y", 1).After("x")}},
		},
		Troubles: Troubles{Wipes: 1}, Troubled: []string{"a"},
	}
}

// FoundingHalfWritten is one founder that votes, which loses its disk, and two with empty disks; two changes.
func FoundingHalfWritten() Scenario {
	return Scenario{
		Name: "founding-half-written", Summary: "one founder votes and loses its disk while two found with it; two changes",
		Members: three, Unborn: []string{"b", "c"}, Newcomers: []string{"y", "z"},
		Clients: []Client{
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
			{Machine: "b", Tasks: []Task{CatchUp(1)}},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
			{Machine: "y", Reaches: []string{"a", "b"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "z", Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "y", 1).After("x")}},
		},
		Troubles: Troubles{Wipes: 1}, Troubled: []string{"a"},
	}
}

// FoundingWithWipe is a founder that loses its disk while the last of them has not founded yet: promises of the
// lost disk are counted by one writer, promises of its successor by another.
func FoundingWithWipe() Scenario {
	return Scenario{
		Name: "founding-with-wipe", Summary: "a founder loses its disk before the last one has founded; three writers",
		Members: three, Unborn: []string{"c"}, Newcomers: []string{"z", "zz"},
		Clients: []Client{
			{Machine: "z", Ready: true, Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "b", Ready: true, Reaches: []string{"a", "b"}, Tasks: []Task{Change(key, "y", 1)}},
			{Machine: "zz", Reaches: []string{"b", "c"}, Tasks: []Task{Change(key, "z", 1).After("y")}},
			{Machine: "c", Ready: true, Knows: three, Reaches: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
		},
		Troubles: Troubles{Wipes: 1}, Troubled: []string{"a"},
	}
}

// FoundingWithoutOne is a founder that loses its disk beside one that has not founded yet, while neither reaches
// the one that holds what was acknowledged.
func FoundingWithoutOne() Scenario {
	return Scenario{
		Name: "founding-without-one", Summary: "two founders without a vote do not reach the third, which holds a change",
		Members: three, Unborn: []string{"c"}, Newcomers: []string{"y", "z"},
		Clients: []Client{
			{Machine: "y", Ready: true, Reaches: []string{"a", "b"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "z", Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "y", 1).After("x")}},
			{Machine: "a", Reaches: []string{"a", "c"}, Tasks: []Task{CatchUp(1)}},
			{Machine: "c", Ready: true, Knows: three, Reaches: []string{"a", "c"}, Tasks: []Task{CatchUp(1)}},
		},
		Troubles: Troubles{Wipes: 1}, Troubled: []string{"a"},
	}
}

// FoundingLongAgo is a system in which the founding was completed and two of three disks are lost: nothing may be
// founded again, as what was acknowledged may have stood on those two alone.
func FoundingLongAgo() Scenario {
	return Scenario{
		Name: "founding-long-ago", Summary: "two of three disks are lost after the founding was completed",
		Members: three, Completed: true, Newcomers: []string{"y", "z"}, ForgetsLists: true,
		Clients: []Client{
			{Machine: "y", Ready: true, Reaches: []string{"a", "b"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "z", Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "y", 1).After("x")}},
			{Machine: "a", Tasks: []Task{CatchUp(1)}},
		},
		Troubles: Troubles{Wipes: 2}, Troubled: []string{"a", "b"},
	}
}

// FoundingListChanged is the same where no founder saw the end of the founding, but the list was changed since.
func FoundingListChanged() Scenario {
	scenario := FoundingLongAgo()
	scenario.Name, scenario.Summary = "founding-list-changed", "two of three disks are lost after the founding list was changed"
	scenario.Members, scenario.Completed, scenario.ForgetsLists = keystore.Members{Number: 3, Present: three.Present}, false, false
	return scenario
}
