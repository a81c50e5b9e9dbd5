package modelcheck

import (
	"encoding/json"

	"ferryspar/internal/keystore"
)

const (
	configurationKey = keystore.ConfigurationKey
	leaseKey         = keystore.LeasePrefix + "duty"
)

var threeMembers = keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}

// jointMembership replaces c by d, and replacedMembership completes the replacement.
var (
	jointMembership    = keystore.Membership{Version: 2, Current: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
	replacedMembership = keystore.Membership{Version: 3, Current: []string{"a", "b", "d"}}
)

// Scenarios returns all scenarios, those with the longest searches last.
func Scenarios() []Scenario {
	return append(ShortScenarios(),
		TwoProposersTwice(), OneCrash(), WipeDuringWrite(), WipeThreeWriters(),
		JointWrites(), MemberReplaced(), RollbackThenWrites(), RollbackWithWipe(),
		FiveTwoWipes(), CrashAndWipe(), TwoJoiningTwice(), LeaseTaken(), LeaseDuringReplacement(),
		BootstrapHalfWritten(),
	)
}

// ShortScenarios returns the scenarios that are exhausted within seconds.
func ShortScenarios() []Scenario {
	return []Scenario{
		TwoProposers(),
		ThreeProposers(),
		OwnerReads(),
		Restart(),
		CrashBetweenWrites(),
		WipeBetweenWrites(),
		WipeSeen(),
		WipeHalfWritten(),
		JointMajorities(),
		MembershipDuringCatchUp(),
		RollbackDuringCompletion(),
		ChangeAfterRollback(),
		FiveWithOneCommonMember(),
		FiveWithWipe(),
		TwoJoining(),
		LeaseReleased(),
		LeaseWiped(),
		DigestDuringWrites(),
		FreshDigest(),
		BootstrapFromEmptyDisks(),
		BootstrapWithWipe(),
		BootstrapWithUnreachableMember(),
		DiskLossAfterBootstrap(),
		BootstrapMembershipChanged(),
	}
}

// TwoProposers has two proposers that change one key, each once.
func TwoProposers() Scenario {
	return Scenario{
		Name:       "two-proposers",
		Summary:    "two proposers change one key, each once",
		Membership: threeMembers,
		Clients: []Client{
			{Machine: "a", StartsImmediately: true, Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "b", StartsImmediately: true, Tasks: []Task{Change(configurationKey, "y", 1)}},
		},
	}
}

// TwoProposersTwice is TwoProposers with a second attempt of one proposer and one duplicate request.
func TwoProposersTwice() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "two-proposers-twice", "two proposers change one key; one duplicate, one further attempt"
	scenario.Clients[0].Tasks = []Task{Change(configurationKey, "x", 2)}
	scenario.Faults.Duplicates = 1
	return scenario
}

// ThreeProposers has three proposers, each two of which reach one common member.
func ThreeProposers() Scenario {
	return Scenario{
		Name:       "three-proposers",
		Summary:    "three proposers change one key; each two of them reach one common member",
		Membership: threeMembers,
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "b"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{
				Machine:           "b",
				StartsImmediately: true,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{Change(configurationKey, "y", 1)},
			},
			{
				Machine:           "c",
				StartsImmediately: true,
				Reachable:         []string{"b", "c"},
				Tasks:             []Task{Change(configurationKey, "z", 1)},
			},
		},
	}
}

// OwnerReads has an owner that reads its value again, concurrently with a change by another proposer. The only member that
// both reach, c, crashes.
func OwnerReads() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "owner-reads", "an owner reads again what it wrote, concurrently with another change"
	scenario.Clients[0] = Client{
		Machine:           "a",
		StartsImmediately: true,
		Reachable:         []string{"a", "c"},
		Tasks:             []Task{Change(configurationKey, "x", 1), Read(configurationKey)},
	}
	scenario.Clients[1].Reachable = []string{"b", "c"}
	scenario.Faults, scenario.FaultyMachines, scenario.SeparatesSync = Faults{Crashes: 1}, []string{"c"}, true
	return scenario
}

// Restart has a proposer that restarts while it changes a key that holds a value.
func Restart() Scenario {
	return Scenario{
		Name:             "restart",
		Summary:          "a proposer restarts during its change; one duplicate",
		Membership:       threeMembers,
		InitialRegisters: onAllMembers(threeMembers, configurationKey, "o"),
		Clients: []Client{{
			Machine:           "a",
			StartsImmediately: true,
			Tasks:             []Task{Change(configurationKey, "x", 1)},
			Reachable:         []string{"a", "b"},
		}},
		Faults: Faults{Restarts: 1, Duplicates: 1},
	}
}

// OneCrash has two changes and one machine that crashes, possibly with unsynced writes.
func OneCrash() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "one-crash", "two proposers change one key; one machine crashes, unsynced writes lost or kept"
	scenario.Faults, scenario.FaultyMachines, scenario.SeparatesSync = Faults{Crashes: 1}, []string{"a", "c"}, true
	return scenario
}

// CrashBetweenWrites restricts OneCrash: each proposer reaches two members, and the common one, c, crashes.
func CrashBetweenWrites() Scenario {
	scenario := OneCrash()
	scenario.Name = "crash-between-writes"
	scenario.Summary = "two changes with the common member c, which crashes; unsynced writes lost or kept"
	scenario.FaultyMachines = []string{"c"}
	scenario.Clients[0].Reachable, scenario.Clients[1].Reachable = []string{"a", "c"}, []string{"b", "c"}
	return scenario
}

// DigestDuringWrites has a digest while a value is written and a member loses its disk. The member on the digest's machine
// learns what it found.
func DigestDuringWrites() Scenario {
	return Scenario{
		Name:             "looks-during-writes",
		Summary:          "a digest during a change and the loss of a disk; its result is learned",
		Membership:       threeMembers,
		InitialRegisters: onAllMembers(threeMembers, configurationKey, "o"),
		Clients: []Client{
			{
				Machine:           "a",
				StartsImmediately: true,
				Reachable:         []string{"a", "c"},
				Tasks:             []Task{Change(configurationKey, "x", 1)},
			},
			{Machine: "b", Tasks: []Task{Digest()}},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
		},
		Faults:         Faults{Wipes: 1},
		FaultyMachines: []string{"c"},
		Learns:         true,
	}
}

// FreshDigest has a digest that serves later reads while a change is made and time advances.
func FreshDigest() Scenario {
	return Scenario{
		Name:                "fresh-looks",
		Summary:             "a digest serves reads while it is valid, during a change and a freeze",
		Membership:          threeMembers,
		DigestValidityTicks: 1,
		DelaysReplies:       true,
		InitialRegisters:    onAllMembers(threeMembers, configurationKey, "o"),
		Clients: []Client{
			{Machine: "a", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "b", Reachable: []string{"b", "c"}, Tasks: []Task{Digest()}},
		},
		Faults: Faults{Ticks: 3},
	}
}

// onAllMembers returns registers with one value for each member, under a proposal number lower than all others.
func onAllMembers(membership keystore.Membership, name, label string) map[string][]keystore.Register {
	value, _ := json.Marshal([]string{label})
	proposal := keystore.ProposalNumber{Round: 1, Incarnation: 1}
	registers := map[string][]keystore.Register{}
	for _, address := range membership.All() {
		registers[address] = []keystore.Register{{
			Key:      name,
			Promised: proposal,
			Accepted: proposal,
			Sequence: 1,
			Value:    value,
		}}
	}
	return registers
}
