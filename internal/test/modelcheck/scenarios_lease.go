package modelcheck

// LeaseTaken is a lease that two want, one of which renews and releases it, over steps of time, with a crash and a step of
// a machine's wall clock.
func LeaseTaken() Scenario {
	return Scenario{
		Name:       "lease-taken",
		Summary:    "a lease is taken, renewed and released or runs out; another takes it; a crash",
		Membership: three,
		LeaseTicks: 2,
		Clients: []Client{
			{Machine: "a", Tasks: []Task{Acquire(leaseKey, "x"), Renew(leaseKey), Release(leaseKey)}},
			{Machine: "b", Tasks: []Task{Acquire(leaseKey, "y")}},
		},
		Faults:         Faults{Ticks: 2, Crashes: 1, WallClockSteps: 1},
		FaultyMachines: []string{"c"},
	}
}

// LeaseReleased narrows it: the two meet at c, whose wall clock is stepped.
func LeaseReleased() Scenario {
	scenario := LeaseTaken()
	scenario.Name, scenario.Summary = "lease-released", "a lease is taken and released or runs out; another that meets it at c takes it"
	scenario.LeaseTicks, scenario.Faults = 1, Faults{Ticks: 1, Crashes: 1, WallClockSteps: 1}
	scenario.Clients[0].Tasks = []Task{Acquire(leaseKey, "x"), Release(leaseKey)}
	scenario.Clients[0].Reachable, scenario.Clients[1].Reachable = []string{"a", "c"}, []string{"b", "c"}
	return scenario
}

// LeaseWiped is a lease while the member that both reach loses its disk and catches up.
func LeaseWiped() Scenario {
	scenario := LeaseReleased()
	scenario.Name, scenario.Summary = "lease-wiped", "a lease is held; the member that both reach loses its disk and catches up"
	scenario.Faults = Faults{Ticks: 1, Wipes: 1}
	scenario.Clients[0].Tasks = []Task{Acquire(leaseKey, "x")}
	scenario.Clients = append(scenario.Clients, Client{Machine: "c", Tasks: []Task{CatchUp(1)}})
	return scenario
}

// LeaseDuringReplacement is a lease held while a member is replaced by a newcomer.
func LeaseDuringReplacement() Scenario {
	return Scenario{
		Name:       "lease-members",
		Summary:    "a lease is held while a member is replaced; another daemon wants it",
		Membership: three,
		Newcomers:  []string{"d"},
		LeaseTicks: 1,
		Clients: []Client{
			{Machine: "a", Tasks: []Task{Acquire(leaseKey, "x")}},
			{
				Machine:           "b",
				StartsImmediately: true,
				Tasks: []Task{
					ChangeMembership(joint, "", 1),
					ChangeMembership(replaced, "d", 1),
					Acquire(leaseKey, "y"),
				},
			},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
		Faults: Faults{Ticks: 1},
	}
}
