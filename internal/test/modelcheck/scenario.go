package modelcheck

import (
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// Tick is the time step of the model. Lease durations and the validity of digests are whole ticks.
const Tick = time.Second

// Faults bounds how many faults of each kind may occur in one execution of a scenario. Message loss is not bounded: each
// message may be lost.
type Faults struct {
	// Crashes are kills or power losses of a machine, each followed by a start. Any prefix of the unsynced batches is kept.
	Crashes int
	// Wipes are crashes that also lose the disk.
	Wipes int
	// Restarts are restarts of a proposer without its member.
	Restarts int
	// Duplicates are deliveries of a request that remains in transit.
	Duplicates int
	// Ticks are steps of time.
	Ticks int
	// WallClockSteps are forward steps of one machine's wall clock by one lease duration.
	WallClockSteps int
}

// Client is a proposer with the tasks that it performs in order.
type Client struct {
	Machine string
	Tasks   []Task
	// StartsImmediately starts the first task in the initial world; otherwise it may start at any moment.
	StartsImmediately bool
	// Membership is the one that the client knows initially. The default is that of the scenario.
	Membership keystore.Membership
	// Reachable lists the members that receive the client's requests, all if it is empty. Requests to others are lost. It
	// reduces the state space.
	Reachable []string
}

// Scenario is a cluster, the tasks of its proposers and the faults that may occur.
type Scenario struct {
	Name    string
	Summary string
	// Membership is the initial one, whose current members vote. Newcomers are machines with empty disks.
	Membership keystore.Membership
	Newcomers  []string
	// NotBootstrapped lists the current members that were killed before they wrote their first state.
	NotBootstrapped []string
	// BootstrapCompleted means that the members know that the bootstrap was completed.
	BootstrapCompleted bool
	// ForgetsMembership means that a member with an empty disk knows no membership until it learns one. NotBootstrapped
	// implies it.
	ForgetsMembership bool
	// InitialRegisters holds the members' initial registers, by address.
	InitialRegisters map[string][]keystore.Register
	Clients          []Client
	Faults           Faults
	// FaultyMachines lists the machines that may crash, lose their disk or have their wall clock stepped.
	FaultyMachines []string
	// LeaseTicks is the duration of a lease and DigestValidityTicks the validity of a digest, in ticks.
	LeaseTicks          int
	DigestValidityTicks int
	// SeparatesSync makes a member's step and its sync separate actions. Without it they are one action, which omits only the
	// replies that a member sends between the two.
	SeparatesSync bool
	// DelaysReplies allows replies to be in transit for any time. Without it a reply arrives at once or never; model.sendReplies
	// explains why that omits no behaviour where no step depends on time.
	DelaysReplies bool
	// Learns lets the member on a proposer's machine learn the values that a digest found committed.
	Learns bool
}

// forgetsMembership reports whether a client that starts on an empty disk knows no membership.
func (s Scenario) forgetsMembership(client Client) bool {
	return (s.ForgetsMembership || len(s.NotBootstrapped) > 0) && client.Tasks[0].Kind == taskCatchUp
}

// initialMembership returns the membership that a client knows in the initial world.
func (s Scenario) initialMembership(client Client) keystore.Membership {
	switch {
	case client.Membership.Version > 0:
		return client.Membership
	case s.forgetsMembership(client) && slices.Contains(s.NotBootstrapped, client.Machine):
		return keystore.Membership{}
	}
	return s.Membership
}

func (s Scenario) leaseDuration() time.Duration { return time.Duration(s.LeaseTicks) * Tick }

func (s Scenario) machines() []string { return slices.Concat(s.Membership.Current, s.Newcomers) }
