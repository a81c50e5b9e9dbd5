package modelcheck

import (
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// model combines a scenario and rules with the tables of interned local states that its worlds refer to.
type model struct {
	scenario  Scenario
	rules     Rules
	machines  []string
	members   *table[member]
	proposers *table[proposer]
	packets   *table[packet]
	histories *table[history]
	handled   map[handleKey]handleResult
	received  map[receiveKey]receiveResult
	// changesMembership means that some task changes the membership.
	changesMembership bool
}

// syncPacket is the packet identifier that a handleKey has for a sync.
const syncPacket = ^stateID(0)

// receiveKey is the cache key of a reply received by a proposer.
type receiveKey struct {
	proposer, packet, history, own stateID
	now                            int
}

type receiveResult struct {
	proposer, history stateID
	packets           []stateID
}

// handleKey is the cache key of a packet handled by a member at a given time.
type handleKey struct {
	member, packet stateID
	now            int
}

type handleResult struct {
	member  stateID
	replies []stateID
}

// epoch is the time in the initial world.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newModel(scenario Scenario, rules Rules) *model {
	result := &model{
		scenario:  scenario,
		rules:     rules,
		machines:  scenario.machines(),
		members:   newTable[member](nil),
		proposers: newTable(unencodedProposerState),
		packets:   newTable[packet](nil),
		histories: newTable[history](nil),
		handled:   map[handleKey]handleResult{},
		received:  map[receiveKey]receiveResult{},
	}
	for _, client := range scenario.Clients {
		for _, task := range client.Tasks {
			result.changesMembership = result.changesMembership || task.Kind == taskMembership
		}
	}
	return result
}

// initialWorld returns the world in which a search starts.
func (m *model) initialWorld() *world {
	first := &world{remaining: m.scenario.Faults, wallClockOffsets: make([]int, len(m.machines))}
	m.addMembers(first)
	m.addProposers(first)
	first.history = m.histories.add(&history{})
	for index, client := range m.scenario.Clients {
		if client.StartsImmediately {
			_ = m.startTask(first, index)
		}
	}
	return first
}

func (m *model) addMembers(first *world) {
	scenario := m.scenario
	seeds, lease := scenario.Membership.Current, scenario.leaseDuration()
	for _, address := range scenario.Membership.Current {
		registers := append(keystore.BootstrapRegisters(scenario.Membership, 1), scenario.InitialRegisters[address]...)
		if slices.Contains(scenario.NotBootstrapped, address) {
			registers = keystore.WipedRegisters(1)
		}
		state := newMember(address, seeds, lease, registers, time.Time{})
		if scenario.BootstrapCompleted {
			state = state.completeBootstrap()
		}
		first.members = append(first.members, m.members.add(state))
	}
	for _, address := range scenario.Newcomers {
		wiped := newMember(address, seeds, lease, m.rules.WipedRegisters(1, scenario.Membership), epoch.Add(lease))
		first.members = append(first.members, m.members.add(wiped))
	}
}

func (m *model) addProposers(first *world) {
	scenario := m.scenario
	for index, client := range scenario.Clients {
		first.proposers = append(first.proposers, m.proposers.add(&proposer{
			Machine:             client.Machine,
			Index:               index,
			Incarnation:         1,
			Membership:          scenario.initialMembership(client),
			Tasks:               client.Tasks,
			Phase:               phaseIdle,
			bootstrapMembership: scenario.Membership,
			leaseDuration:       scenario.leaseDuration(),
			reachable:           client.Reachable,
			keepsDigests:        scenario.DigestValidityTicks > 0,
		}))
	}
}

// machine returns the index of a machine.
func (m *model) machine(address string) int { return slices.Index(m.machines, address) }

// now returns the time on the clock by which a machine measures leases.
func (m *model) now(w *world, machine int) time.Time {
	offset := time.Duration(w.wallClockOffsets[machine]) * Tick
	return m.rules.Clock(epoch.Add(time.Duration(w.tick)*Tick), offset)
}

// view returns the part of the world that a proposer can see.
func (m *model) view(w *world, client *proposer) proposerView {
	machine := m.machine(client.Machine)
	result := proposerView{rules: m.rules, now: m.now(w, machine), own: m.members.get(w.members[machine])}
	result.acknowledged = m.histories.get(w.history).labelsUntil(w.tick)
	return result
}
