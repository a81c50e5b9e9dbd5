package explore

import (
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// fleet is a scenario under rules, with the tables that its worlds refer to.
type fleet struct {
	scenario  Scenario
	rules     Rules
	machines  []string
	members   *table[member]
	proposers *table[proposer]
	packets   *table[packet]
	histories *table[history]
	handled   map[handling]handlingResult
	received  map[receiving]receivingResult
	// relists says that a task changes the member list.
	relists bool
}

// syncing stands for the packet where a member syncs.
const syncing = ^number(0)

// receiving is a reply at a proposer; what comes of it is computed once.
type receiving struct {
	proposer, packet, history, own number
	now                            int
}

type receivingResult struct {
	proposer, history number
	packets           []number
}

// handling is a packet at a member at a time; what comes of it is computed once.
type handling struct {
	member, packet number
	now            int
}

type handlingResult struct {
	member  number
	replies []number
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(scenario Scenario, rules Rules) *fleet {
	made := &fleet{
		scenario: scenario, rules: rules, machines: scenario.machines(),
		members: newTable[member](nil), proposers: newTable(hiddenOfProposer), packets: newTable[packet](nil),
		histories: newTable[history](nil), handled: map[handling]handlingResult{},
		received: map[receiving]receivingResult{},
	}
	for _, client := range scenario.Clients {
		for _, task := range client.Tasks {
			made.relists = made.relists || task.Kind == taskMembers
		}
	}
	return made
}

func (f *fleet) first() *world {
	scenario := f.scenario
	first := &world{left: scenario.Troubles, dayOffsets: make([]int, len(f.machines))}
	for _, address := range scenario.Members.Present {
		slots := append(keystore.FreshSlots(scenario.Members, 1), scenario.Held[address]...)
		if slices.Contains(scenario.Unborn, address) {
			slots = keystore.WipedSlots(1)
		}
		made := newMember(address, scenario.Members.Present, scenario.lease(), slots, time.Time{})
		if scenario.Completed {
			made = made.completeFounding()
		}
		first.members = append(first.members, f.members.add(made))
	}
	for _, address := range scenario.Newcomers {
		wiped := newMember(address, scenario.Members.Present, scenario.lease(), f.rules.Wiped(1, scenario.Members), epoch.Add(scenario.lease()))
		first.members = append(first.members, f.members.add(wiped))
	}
	for index, client := range scenario.Clients {
		list := scenario.Members
		if client.Knows.Number > 0 {
			list = client.Knows
		}
		if scenario.forgetsList(client) && slices.Contains(scenario.Unborn, client.Machine) && client.Knows.Number == 0 {
			list = keystore.Members{}
		}
		first.proposers = append(first.proposers, f.proposers.add(&proposer{
			Machine: client.Machine, Index: index, Life: 1, Members: list, Tasks: client.Tasks, Phase: phaseIdle,
			founding: scenario.Members, length: scenario.lease(), reaches: client.Reaches, keepsLooks: scenario.Validity > 0,
		}))
	}
	first.history = f.histories.add(&history{})
	for index, client := range scenario.Clients {
		if client.Ready {
			_ = f.begin(first, index)
		}
	}
	return first
}

func (f *fleet) machine(address string) int { return slices.Index(f.machines, address) }

// now is the time by which a machine counts leases.
func (f *fleet) now(w *world, machine int) time.Time {
	offset := time.Duration(w.dayOffsets[machine]) * Tick
	return f.rules.Clock(epoch.Add(time.Duration(w.tick)*Tick), offset)
}

func (f *fleet) view(w *world, one *proposer) view {
	machine := f.machine(one.Machine)
	seen := view{rules: f.rules, now: f.now(w, machine), own: f.members.get(w.members[machine])}
	seen.acknowledged = f.histories.get(w.history).marks(w.tick)
	return seen
}
