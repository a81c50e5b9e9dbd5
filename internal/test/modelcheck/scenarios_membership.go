package modelcheck

import (
	"encoding/json"

	"ferryspar/internal/keystore"
)

// MemberReplaced replaces c by d while a proposer that knows only the old membership writes.
func MemberReplaced() Scenario {
	return Scenario{
		Name:       "member-replaced",
		Summary:    "c is replaced by d; a proposer with the old membership writes meanwhile",
		Membership: threeMembers,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b", "d"},
				Tasks: []Task{
					ChangeMembership(jointMembership, "", 1),
					ChangeMembership(replacedMembership, "d", 1),
					Change(configurationKey, "x", 1),
				},
			},
			{Machine: "b", Reachable: []string{"b", "c", "d"}, Tasks: []Task{Change(configurationKey, "y", 2)}},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
	}
}

// JointWrites restricts MemberReplaced: it starts with the joint membership in force.
func JointWrites() Scenario {
	return Scenario{
		Name:       "joint-writes",
		Summary:    "the joint membership is in force, d catches up; a proposer with the old membership writes meanwhile",
		Membership: jointMembership,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:   "a",
				Reachable: []string{"a", "b", "d"},
				Tasks:     []Task{ChangeMembership(replacedMembership, "d", 1), Change(configurationKey, "x", 1)},
			},
			{
				Machine:    "b",
				Reachable:  []string{"b", "c"},
				Membership: threeMembers,
				Tasks:      []Task{Change(configurationKey, "y", 2)},
			},
			{Machine: "d", Tasks: []Task{CatchUp(1)}},
		},
	}
}

// JointMajorities restricts JointWrites: the second writer knows the joint membership from the start.
func JointMajorities() Scenario {
	scenario := JointWrites()
	scenario.Name, scenario.Summary = "joint-majorities", "under the joint membership one proposer reaches only the old majority"
	scenario.Clients[1] = Client{
		Machine:           "b",
		StartsImmediately: true,
		Reachable:         []string{"b", "c"},
		Tasks:             []Task{Change(configurationKey, "y", 1)},
	}
	return scenario
}

// RollbackDuringCompletion has a joint membership that one proposer rolls back while another one completes it.
func RollbackDuringCompletion() Scenario {
	scenario := RollbackThenWrites()
	scenario.Name, scenario.Summary = "take-back", "a joint membership is rolled back while another proposer completes it"
	for index := range scenario.Clients {
		scenario.Clients[index].Tasks = scenario.Clients[index].Tasks[:1]
	}
	return scenario
}

// RollbackThenWrites is RollbackDuringCompletion where each proposer then writes under the membership that it considers to be
// in force.
func RollbackThenWrites() Scenario {
	return Scenario{
		Name:             "take-back-then-writes",
		Summary:          "a joint membership is rolled back while it is completed; both proposers then write",
		Membership:       jointMembership,
		Newcomers:        []string{"d"},
		InitialRegisters: jointOnCurrentMembers(),
		Clients: []Client{
			{
				Machine:   "a",
				Reachable: []string{"a", "b", "d"},
				Tasks:     []Task{ChangeMembership(replacedMembership, "d", 1), Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "b",
				StartsImmediately: true,
				Reachable:         []string{"b", "c"},
				Tasks:             []Task{RollBackMembership(1), Change(configurationKey, "y", 1)},
			},
			{Machine: "d", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
		},
	}
}

// ChangeAfterRollback rolls a joint membership back, after which the same proposer starts the next membership change.
func ChangeAfterRollback() Scenario {
	again := keystore.Membership{Version: 4, Current: jointMembership.Current, Next: jointMembership.Next}
	return Scenario{
		Name:             "change-after-take-back",
		Summary:          "a joint membership is rolled back, then the next change starts",
		Membership:       jointMembership,
		Newcomers:        []string{"d"},
		InitialRegisters: jointOnCurrentMembers(),
		Clients: []Client{
			{Machine: "a", Tasks: []Task{RollBackMembership(1).AfterVoteOf("d"), ChangeMembership(again, "", 1)}},
			{Machine: "d", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
		},
	}
}

// RollbackWithWipe is RollbackDuringCompletion while c, whose promises may be counted, loses its disk.
func RollbackWithWipe() Scenario {
	scenario := RollbackDuringCompletion()
	scenario.Name, scenario.Summary = "take-back-with-wipe", "a joint membership is rolled back while it is completed, and c loses its disk"
	scenario.Clients = append(scenario.Clients, Client{Machine: "c", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}})
	scenario.Faults, scenario.FaultyMachines = Faults{Wipes: 1}, []string{"c"}
	return scenario
}

// jointOnCurrentMembers returns registers in which the current members hold the joint membership as a committed value, as is
// the case once a proposer knows it.
func jointOnCurrentMembers() map[string][]keystore.Register {
	value, _ := json.Marshal(jointMembership)
	proposal := keystore.ProposalNumber{Round: 1, Incarnation: 1}
	registers := map[string][]keystore.Register{}
	for _, address := range jointMembership.Current {
		registers[address] = []keystore.Register{{
			Key:      keystore.MembershipKey,
			Promised: proposal,
			Accepted: proposal,
			Sequence: 1,
			Value:    value,
		}}
	}
	return registers
}

// MembershipDuringCatchUp commits a new membership while a member that lost its disk catches up under the old one.
func MembershipDuringCatchUp() Scenario {
	return Scenario{
		Name:       "list-during-catch-up",
		Summary:    "a new membership is adopted by a member that catches up under the old one",
		Membership: threeMembers,
		Newcomers:  []string{"d"},
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"b", "c"},
				Tasks:             []Task{ChangeMembership(jointMembership, "", 1), Change(configurationKey, "x", 1)},
			},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"c"},
	}
}
