package modelcheck

import (
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// Tick is one step of time. Leases and the validity of looks are whole ticks.
const Tick = time.Second

// Faults bounds how many events of each kind one run of a scenario may hold. Loss needs no
// bound: each message may be lost.
type Faults struct {
	// Crashes are kills or losses of power of a machine with its start; batches that were not
	// synced are kept up to any of them.
	Crashes int
	// Wipes are crashes that take the disk along.
	Wipes int
	// Restarts are new lives of a proposer alone.
	Restarts int
	// Duplicates are deliveries of a question that leave it under way.
	Duplicates int
	// Ticks are steps of time.
	Ticks int
	// WallClockSteps are steps of one machine's time of day by one lease, forward.
	WallClockSteps int
}

// Client is a proposer and what it does, one task after the other.
type Client struct {
	Machine string
	Tasks   []Task
	// Ready says that the first task begins at once; otherwise it may begin at any moment.
	StartsImmediately bool
	// Knows is the list that the client begins with, that of the scenario if it is not set.
	Membership keystore.Membership
	// Reaches are the members that the client's questions may come to, all if it is empty. Those
	// to others are lost. It narrows a scenario.
	Reachable []string
}

// Scenario is a fleet, what its proposers do and the troubles that may come.
type Scenario struct {
	Name    string
	Summary string
	// Members is the first list, whose present members vote; Newcomers are machines with empty disks.
	Membership keystore.Membership
	Newcomers  []string
	// Unborn are present members that were killed before they wrote that they are founders.
	NotBootstrapped []string
	// Completed says that the members have seen the end of the founding.
	BootstrapCompleted bool
	// ForgetsMembership says that a member whose disk is empty knows no list until it is told one. It is so wherever
	// some are Unborn.
	ForgetsMembership bool
	// Held gives the members slots that they hold at the beginning, by address.
	InitialRegisters map[string][]keystore.Register
	Clients          []Client
	Faults           Faults
	// Troubled are the machines that may crash or lose their disk or have their day stepped.
	FaultyMachines []string
	// Lease is how many ticks a lease lasts, Validity how many a look may be answered from.
	LeaseTicks          int
	DigestValidityTicks int
	// Staging tells steps from their sync. Without it a step and its sync are one event, which
	// leaves out only what a member answers between the two.
	SeparatesSync bool
	// DelaysReplies keeps replies under way for any time. Without it one arrives at once or never,
	// see fleet.sendReplies for why that leaves nothing out where no step depends on time.
	DelaysReplies bool
	// Learns lets the member beside a proposer take over what a look found committed.
	Learns bool
}

// forgetsMembership says whether a client begins a life on an empty disk without a list.
func (s Scenario) forgetsMembership(client Client) bool {
	return (s.ForgetsMembership || len(s.NotBootstrapped) > 0) && client.Tasks[0].Kind == taskCatchUp
}

func (s Scenario) leaseDuration() time.Duration { return time.Duration(s.LeaseTicks) * Tick }

func (s Scenario) machines() []string { return slices.Concat(s.Membership.Current, s.Newcomers) }
