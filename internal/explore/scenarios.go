package explore

import (
	"encoding/json"

	"ferryspar/internal/keystore"
)

const (
	key   = keystore.ConfigurationKey
	lease = keystore.LeasePrefix + "duty"
)

var three = keystore.Members{Number: 1, Present: []string{"a", "b", "c"}}

// joint takes in d for c, replaced is the list after it.
var (
	joint    = keystore.Members{Number: 2, Present: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
	replaced = keystore.Members{Number: 3, Present: []string{"a", "b", "d"}}
)

// Scenarios lists the bounds that are walked, the long ones last.
func Scenarios() []Scenario {
	return append(ShortScenarios(),
		TwoProposersTwice(), OneCrash(), WipeDuringWrite(), WipeThreeWriters(),
		JointWrites(), MemberReplaced(), LeaseTaken(), LeaseMembers(),
		FoundingHalfWritten(),
	)
}

// ShortScenarios lists those that are exhausted within seconds.
func ShortScenarios() []Scenario {
	return []Scenario{
		TwoProposers(), ThreeProposers(), OwnerReads(), Restart(), CrashBetweenWrites(), WipeBetweenWrites(), WipeSeen(), WipeHalfWritten(),
		JointMajorities(), ListDuringCatchUp(), LeaseReleased(), LeaseWiped(), LooksDuringWrites(), FreshLooks(),
		FoundingFromNothing(), FoundingWithWipe(), FoundingWithoutOne(), FoundingLongAgo(), FoundingListChanged(),
	}
}

// TwoProposers is two proposers with one change each on one key.
func TwoProposers() Scenario {
	return Scenario{
		Name: "two-proposers", Summary: "two proposers change one key, each once",
		Members: three,
		Clients: []Client{
			{Machine: "a", Ready: true, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "b", Ready: true, Tasks: []Task{Change(key, "y", 1)}},
		},
	}
}

// TwoProposersTwice is the same with a second attempt of one and a question that comes twice.
func TwoProposersTwice() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "two-proposers-twice", "two proposers change one key; one duplicate, one further attempt"
	scenario.Clients[0].Tasks = []Task{Change(key, "x", 2)}
	scenario.Troubles.Duplicates = 1
	return scenario
}

// ThreeProposers is three proposers of which each two meet at one member.
func ThreeProposers() Scenario {
	return Scenario{
		Name: "three-proposers", Summary: "three proposers change one key; each two of them meet at one member",
		Members: three,
		Clients: []Client{
			{Machine: "a", Ready: true, Reaches: []string{"a", "b"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "b", Ready: true, Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "y", 1)}},
			{Machine: "c", Ready: true, Reaches: []string{"b", "c"}, Tasks: []Task{Change(key, "z", 1)}},
		},
	}
}

// OwnerReads is an owner that reads its value again, beside another change that meets it at c,
// which crashes.
func OwnerReads() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "owner-reads", "an owner reads again what it wrote, beside another change"
	scenario.Clients[0] = Client{Machine: "a", Ready: true, Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "x", 1), Read(key)}}
	scenario.Clients[1].Reaches = []string{"b", "c"}
	scenario.Troubles, scenario.Troubled, scenario.Staging = Troubles{Crashes: 1}, []string{"c"}, true
	return scenario
}

// Restart is a proposer with a second life, over a key that holds a value.
func Restart() Scenario {
	return Scenario{
		Name: "restart", Summary: "a proposer begins a new life during its change; one duplicate",
		Members: three, Held: heldByAll(three, key, "o"),
		Clients:  []Client{{Machine: "a", Ready: true, Tasks: []Task{Change(key, "x", 1)}, Reaches: []string{"a", "b"}}},
		Troubles: Troubles{Restarts: 1, Duplicates: 1},
	}
}

// OneCrash is two changes with a machine that crashes, its writes staged before they are synced.
func OneCrash() Scenario {
	scenario := TwoProposers()
	scenario.Name, scenario.Summary = "one-crash", "two proposers change one key; one machine crashes, unsynced writes lost or kept"
	scenario.Troubles, scenario.Troubled, scenario.Staging = Troubles{Crashes: 1}, []string{"a", "c"}, true
	return scenario
}

// CrashBetweenWrites narrows it: each proposer reaches two members, c between them crashes.
func CrashBetweenWrites() Scenario {
	scenario := OneCrash()
	scenario.Name, scenario.Summary = "crash-between-writes", "two changes that meet at c, which crashes; unsynced writes lost or kept"
	scenario.Troubled = []string{"c"}
	scenario.Clients[0].Reaches, scenario.Clients[1].Reaches = []string{"a", "c"}, []string{"b", "c"}
	return scenario
}

// LooksDuringWrites is a look while a value is written and a member loses its disk; what the
// look found is learned by the member beside.
func LooksDuringWrites() Scenario {
	return Scenario{
		Name: "looks-during-writes", Summary: "a look during a change and the loss of a disk; its finding is learned",
		Members: three, Held: heldByAll(three, key, "o"),
		Clients: []Client{
			{Machine: "a", Ready: true, Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "b", Tasks: []Task{Look()}},
			{Machine: "c", Tasks: []Task{CatchUp(1)}},
		},
		Troubles: Troubles{Wipes: 1}, Troubled: []string{"c"}, Learns: true,
	}
}

// FreshLooks is a look answered from later, beside a change, over steps of time.
func FreshLooks() Scenario {
	return Scenario{
		Name: "fresh-looks", Summary: "a look is answered from while it is fresh, beside a change and a freeze",
		Members: three, Validity: 1, LateReplies: true, Held: heldByAll(three, key, "o"),
		Clients: []Client{
			{Machine: "a", Reaches: []string{"a", "c"}, Tasks: []Task{Change(key, "x", 1)}},
			{Machine: "b", Reaches: []string{"b", "c"}, Tasks: []Task{Look()}},
		},
		Troubles: Troubles{Ticks: 3},
	}
}

// heldByAll gives each member one value, under a ballot below all others.
func heldByAll(members keystore.Members, name, mark string) map[string][]keystore.Slot {
	value, _ := json.Marshal([]string{mark})
	ballot := keystore.Ballot{Round: 1, Life: 1}
	held := map[string][]keystore.Slot{}
	for _, address := range members.All() {
		held[address] = []keystore.Slot{{Key: name, Promised: ballot, Ballot: ballot, Sequence: 1, Value: value}}
	}
	return held
}
