package modelcheck

// LeaseTaken has two proposers that compete for a lease, one of which renews and releases it, while time advances, a machine
// crashes and its wall clock is stepped.
func LeaseTaken() Scenario {
	return Scenario{
		Name:       "lease-taken",
		Summary:    "a lease is acquired, renewed and released or expires; another proposer acquires it; a crash",
		Membership: threeMembers,
		LeaseTicks: 2,
		Clients: []Client{
			{Machine: "a", Tasks: []Task{Acquire(leaseKey, "x"), Renew(leaseKey), Release(leaseKey)}},
			{Machine: "b", Tasks: []Task{Acquire(leaseKey, "y")}},
		},
		Faults:         Faults{Ticks: 2, Crashes: 1, WallClockSteps: 1},
		FaultyMachines: []string{"c"},
	}
}

// LeaseReleased restricts LeaseTaken: the only member that both reach is c, whose wall clock is stepped.
func LeaseReleased() Scenario {
	scenario := LeaseTaken()
	scenario.Name = "lease-released"
	scenario.Summary = "a lease is acquired and released or expires; another proposer with the common member c acquires it"
	scenario.LeaseTicks, scenario.Faults = 1, Faults{Ticks: 1, Crashes: 1, WallClockSteps: 1}
	scenario.Clients[0].Tasks = []Task{Acquire(leaseKey, "x"), Release(leaseKey)}
	scenario.Clients[0].Reachable, scenario.Clients[1].Reachable = []string{"a", "c"}, []string{"b", "c"}
	return scenario
}

// LeaseWiped has a held lease while the member that both proposers reach loses its disk and catches up.
func LeaseWiped() Scenario {
	scenario := LeaseReleased()
	scenario.Name, scenario.Summary = "lease-wiped", "a lease is held; the member that both reach loses its disk and catches up"
	scenario.Faults = Faults{Ticks: 1, Wipes: 1}
	scenario.Clients[0].Tasks = []Task{Acquire(leaseKey, "x")}
	scenario.Clients = append(scenario.Clients, Client{Machine: "c", Tasks: []Task{CatchUp(1)}})
	return scenario
}

// LeaseDuringReplacement has a held lease while a member is replaced by a newcomer.
func LeaseDuringReplacement() Scenario {
	return Scenario{
		Name:       "lease-members",
		Summary:    "a lease is held while a member is replaced; another proposer requests it",
		Membership: threeMembers,
		Newcomers:  []string{"d"},
		LeaseTicks: 1,
		Clients: []Client{
			{Machine: "a", Tasks: []Task{Acquire(leaseKey, "x")}},
			{
				Machine:           "b",
				StartsImmediately: true,
				Tasks: []Task{
					ChangeMembership(jointMembership, "", 1),
					ChangeMembership(replacedMembership, "d", 1),
					Acquire(leaseKey, "y"),
				},
			},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
		Faults: Faults{Ticks: 1},
	}
}
