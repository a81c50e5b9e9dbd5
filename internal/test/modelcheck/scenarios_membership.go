package modelcheck

import (
	"encoding/json"

	"ferryspar/internal/keystore"
)

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

// RollbackDuringCompletion is a joint membership that one proposer takes back while another one completes it.
func RollbackDuringCompletion() Scenario {
	scenario := RollbackThenWrites()
	scenario.Name, scenario.Summary = "take-back", "a joint list is taken back while another proposer completes it"
	for index := range scenario.Clients {
		scenario.Clients[index].Tasks = scenario.Clients[index].Tasks[:1]
	}
	return scenario
}

// RollbackThenWrites is the same where each of them then writes under what it believes to be in force.
func RollbackThenWrites() Scenario {
	return Scenario{
		Name:             "take-back-then-writes",
		Summary:          "a joint list is taken back while it is completed; both proposers then write",
		Membership:       joint,
		Newcomers:        []string{"d"},
		InitialRegisters: jointOnCurrentMembers(),
		Clients: []Client{
			{
				Machine:   "a",
				Reachable: []string{"a", "b", "d"},
				Tasks:     []Task{ChangeMembership(replaced, "d", 1), Change(configurationKey, "x", 1)},
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

// ChangeAfterRollback is a joint membership that is taken back, and the next change of the membership by the same proposer.
func ChangeAfterRollback() Scenario {
	again := keystore.Membership{Version: 4, Current: joint.Current, Next: joint.Next}
	return Scenario{
		Name:             "change-after-take-back",
		Summary:          "a joint list is taken back, then the next change begins",
		Membership:       joint,
		Newcomers:        []string{"d"},
		InitialRegisters: jointOnCurrentMembers(),
		Clients: []Client{
			{Machine: "a", Tasks: []Task{RollBackMembership(1).AfterVoteOf("d"), ChangeMembership(again, "", 1)}},
			{Machine: "d", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}},
		},
	}
}

// RollbackWithWipe is TakeBackBesideCompletion while c, whose promises may be counted, loses its disk.
func RollbackWithWipe() Scenario {
	scenario := RollbackDuringCompletion()
	scenario.Name, scenario.Summary = "take-back-with-wipe", "a joint list is taken back while it is completed, and c loses its disk"
	scenario.Clients = append(scenario.Clients, Client{Machine: "c", Reachable: []string{"a", "b"}, Tasks: []Task{CatchUp(1)}})
	scenario.Faults, scenario.FaultyMachines = Faults{Wipes: 1}, []string{"c"}
	return scenario
}

// jointOnCurrentMembers has the current members hold the joint membership as a committed value, as they do once a proposer
// knows of it.
func jointOnCurrentMembers() map[string][]keystore.Register {
	value, _ := json.Marshal(joint)
	proposal := keystore.ProposalNumber{Round: 1, Incarnation: 1}
	registers := map[string][]keystore.Register{}
	for _, address := range joint.Current {
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
