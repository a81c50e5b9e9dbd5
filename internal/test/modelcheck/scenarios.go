package modelcheck

import (
	"encoding/json"

	"ferryspar/internal/keystore"
)

const (
	configurationKey = keystore.ConfigurationKey
	leaseKey         = keystore.LeasePrefix + "duty"
)

var three = keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}

// joint replaces c by d, replaced is the membership after it.
var (
	joint    = keystore.Membership{Version: 2, Current: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
	replaced = keystore.Membership{Version: 3, Current: []string{"a", "b", "d"}}
)

// Scenarios lists the bounds that are walked, the long ones last.
func Scenarios() []Scenario {
	return append(ShortScenarios(),
		TwoProposersTwice(), OneCrash(), WipeDuringWrite(), WipeThreeWriters(),
		JointWrites(), MemberReplaced(), RollbackThenWrites(), RollbackWithWipe(),
		FiveTwoWipes(), CrashAndWipe(), TwoJoiningTwice(), LeaseTaken(), LeaseDuringReplacement(),
		BootstrapHalfWritten(),
	)
}

// ShortScenarios lists those that are exhausted within seconds.
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

// TwoProposers is two proposers with one change each on one key.
func TwoProposers() Scenario {
	return Scenario{
		Name:       "two-proposers",
		Summary:    "two proposers change one key, each once",
		Membership: three,
		Clients: []Client{
			{Machine: "a", StartsImmediately: true, Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "b", StartsImmediately: true, Tasks: []Task{Change(configurationKey, "y", 1)}},
		},
	}
}

// TwoProposersTwice is the same with a second attempt of one and a request that comes twice.
func TwoProposersTwice() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "two-proposers-twice", "two proposers change one key; one duplicate, one further attempt"
	scenario.Clients[0].Tasks = []Task{Change(configurationKey, "x", 2)}
	scenario.Faults.Duplicates = 1
	return scenario
}

// ThreeProposers is three proposers of which each two meet at one member.
func ThreeProposers() Scenario {
	return Scenario{
		Name:       "three-proposers",
		Summary:    "three proposers change one key; each two of them meet at one member",
		Membership: three,
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

// OwnerReads is an owner that reads its value again, beside another change that meets it at c,
// which crashes.
func OwnerReads() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "owner-reads", "an owner reads again what it wrote, beside another change"
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

// Restart is a proposer that restarts, over a key that holds a value.
func Restart() Scenario {
	return Scenario{
		Name:             "restart",
		Summary:          "a proposer begins a new life during its change; one duplicate",
		Membership:       three,
		InitialRegisters: onAllMembers(three, configurationKey, "o"),
		Clients: []Client{{
			Machine:           "a",
			StartsImmediately: true,
			Tasks:             []Task{Change(configurationKey, "x", 1)},
			Reachable:         []string{"a", "b"},
		}},
		Faults: Faults{Restarts: 1, Duplicates: 1},
	}
}

// OneCrash is two changes with a machine that crashes, its writes staged before they are synced.
func OneCrash() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "one-crash", "two proposers change one key; one machine crashes, unsynced writes lost or kept"
	scenario.Faults, scenario.FaultyMachines, scenario.SeparatesSync = Faults{Crashes: 1}, []string{"a", "c"}, true
	return scenario
}

// CrashBetweenWrites narrows it: each proposer reaches two members, c between them crashes.
func CrashBetweenWrites() Scenario {
	scenario := OneCrash()
	scenario.Name, scenario.Summary = "crash-between-writes", "two changes that meet at c, which crashes; unsynced writes lost or kept"
	scenario.FaultyMachines = []string{"c"}
	scenario.Clients[0].Reachable, scenario.Clients[1].Reachable = []string{"a", "c"}, []string{"b", "c"}
	return scenario
}

// DigestDuringWrites is a digest while a value is written and a member loses its disk; what the digest found is learned
// by the member beside.
func DigestDuringWrites() Scenario {
	return Scenario{
		Name:             "looks-during-writes",
		Summary:          "a look during a change and the loss of a disk; its finding is learned",
		Membership:       three,
		InitialRegisters: onAllMembers(three, configurationKey, "o"),
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

// FreshDigest is a digest that is answered from later, beside a change, over steps of time.
func FreshDigest() Scenario {
	return Scenario{
		Name:                "fresh-looks",
		Summary:             "a look is answered from while it is fresh, beside a change and a freeze",
		Membership:          three,
		DigestValidityTicks: 1,
		DelaysReplies:       true,
		InitialRegisters:    onAllMembers(three, configurationKey, "o"),
		Clients: []Client{
			{Machine: "a", Reachable: []string{"a", "c"}, Tasks: []Task{Change(configurationKey, "x", 1)}},
			{Machine: "b", Reachable: []string{"b", "c"}, Tasks: []Task{Digest()}},
		},
		Faults: Faults{Ticks: 3},
	}
}

// onAllMembers gives each member one value, under a proposal number below all others.
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
