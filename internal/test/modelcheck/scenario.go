package modelcheck

import (
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// Tick is one step of time. Leases and the validity of digests are whole ticks.
const Tick = time.Second

// Faults bounds how many faults of each kind one run of a scenario may hold. Loss needs no
// bound: each message may be lost.
type Faults struct {
	// Crashes are kills or losses of power of a machine with its start; batches that were not
	// synced are kept up to any of them.
	Crashes int
	// Wipes are crashes that take the disk along.
	Wipes int
	// Restarts are new incarnations of a proposer alone.
	Restarts int
	// Duplicates are deliveries of a request that leave it under way.
	Duplicates int
	// Ticks are steps of time.
	Ticks int
	// WallClockSteps are steps of one machine's wall clock by one lease, forward.
	WallClockSteps int
}

// Client is a proposer and what it does, one task after the other.
type Client struct {
	Machine string
	Tasks   []Task
	// StartsImmediately says that the first task begins at once; otherwise it may begin at any moment.
	StartsImmediately bool
	// Membership is the one that the client begins with, that of the scenario if it is not set.
	Membership keystore.Membership
	// Reachable are the members that the client's requests may come to, all if it is empty. Those to others are lost. It
	// narrows a scenario.
	Reachable []string
}

// Scenario is a fleet, what its proposers do and the faults that may come.
type Scenario struct {
	Name    string
	Summary string
	// Membership is the first one, whose current members vote; Newcomers are machines with empty disks.
	Membership keystore.Membership
	Newcomers  []string
	// NotBootstrapped are current members that were killed before they wrote their first state.
	NotBootstrapped []string
	// BootstrapCompleted says that the members have seen the end of the bootstrap.
	BootstrapCompleted bool
	// ForgetsMembership says that a member whose disk is empty knows no membership until it learns one. It is so wherever
	// some are NotBootstrapped.
	ForgetsMembership bool
	// InitialRegisters are those that the members hold at the beginning, by address.
	InitialRegisters map[string][]keystore.Register
	Clients          []Client
	Faults           Faults
	// FaultyMachines are those that may crash, lose their disk or have their wall clock stepped.
	FaultyMachines []string
	// LeaseTicks is how many ticks a lease lasts, DigestValidityTicks for how many a digest may be answered from.
	LeaseTicks          int
	DigestValidityTicks int
	// SeparatesSync separates steps from their sync. Without it a step and its sync are one action, which leaves out only what a
	// member answers between the two.
	SeparatesSync bool
	// DelaysReplies keeps replies under way for any time. Without it one arrives at once or never, see model.sendReplies for
	// why that leaves nothing out where no step depends on time.
	DelaysReplies bool
	// Learns lets the member beside a proposer take over what a digest found committed.
	Learns bool
}

// forgetsMembership says whether a client that starts on an empty disk knows no membership.
func (s Scenario) forgetsMembership(client Client) bool {
	return (s.ForgetsMembership || len(s.NotBootstrapped) > 0) && client.Tasks[0].Kind == taskCatchUp
}

// initialMembership is the one that a client knows in the initial world.
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
