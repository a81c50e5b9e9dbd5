package modelcheck

// MemberReplaced is c replaced by d while a proposer that knows only the old membership writes.
func MemberReplaced() Scenario {
	return Scenario{
		Name:       "member-replaced",
		Summary:    "c is replaced by d; a proposer with the old list writes meanwhile",
		Membership: three,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b", "d"},
				Tasks: []Task{
					ChangeMembership(joint, "", 1),
					ChangeMembership(replaced, "d", 1),
					Change(configurationKey, "x", 1),
				},
			},
			{Machine: "b", Reachable: []string{"b", "c", "d"}, Tasks: []Task{Change(configurationKey, "y", 2)}},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
	}
}

// JointWrites narrows it: the change is half done, the joint membership is in force.
func JointWrites() Scenario {
	return Scenario{
		Name:       "joint-writes",
		Summary:    "the joint list is in force, d catches up; a proposer with the old list writes meanwhile",
		Membership: joint,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:   "a",
				Reachable: []string{"a", "b", "d"},
				Tasks:     []Task{ChangeMembership(replaced, "d", 1), Change(configurationKey, "x", 1)},
			},
			{
				Machine:    "b",
				Reachable:  []string{"b", "c"},
				Membership: three,
				Tasks:      []Task{Change(configurationKey, "y", 2)},
			},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
	}
}

// JointMajorities narrows it once more: the second writer knows the joint membership from the start.
func JointMajorities() Scenario {
	scenario := JointWrites()
	scenario.Name, scenario.Summary = "joint-majorities", "under the joint list one proposer reaches the old majority only"
	scenario.Clients[1] = Client{
		Machine:           "b",
		StartsImmediately: true,
		Reachable:         []string{"b", "c"},
		Tasks:             []Task{Change(configurationKey, "y", 1)},
	}
	return scenario
}

// MembershipDuringCatchUp is a new membership while a member that lost its disk reads under the old one.
func MembershipDuringCatchUp() Scenario {
	return Scenario{
		Name:       "list-during-catch-up",
		Summary:    "a new list is adopted by a member that catches up under the old one",
		Membership: three,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"b", "c"},
				Tasks:             []Task{ChangeMembership(joint, "", 1), Change(configurationKey, "x", 1)},
			},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"c"},
	}
}
