package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// plantedFault is a mistake planted in the simulated fleet, to see that the checks find it.
type plantedFault int

const (
	noFault plantedFault = iota
	// loansCountFromReceipt: a home that was frozen takes an old loan for a fresh one.
	loansCountFromReceipt
	// repeatsCountTwice: a doubled message is taken for a second loan.
	repeatsCountTwice
	// restartForgets: a restarted lender lends at once what its last life still has lent.
	restartForgets
	// silentExpiredAtOnce: a data plane that falls silent isn't counted any more at once.
	silentExpiredAtOnce
	// tokensNeverExpire: a thawed borrower spends tokens of any age.
	tokensNeverExpire
	// lowerLimitMissedByOne: a lower limit reaches only every second data plane.
	lowerLimitMissedByOne
	// keepsReleasedShare: a home that leaves goes on with what it released.
	keepsReleasedShare
	// leaversNeverExpire: the share of a data plane that left is never given again.
	leaversNeverExpire
)

const testTenant = "tenant"

type node struct {
	name                string
	incarnation         int
	speed               float64
	frozen, partitioned bool
	lender              *Lender
	pool                *Pool
	borrower            *Borrower
	limit               Limit
}

// message is under way until it is delivered to the life that it is for; the answer is made on delivery.
type message struct {
	to          *node
	incarnation int
	from        *node
	deliver     func(repeated bool)
}

type spentTokens struct {
	at     time.Duration
	tokens int
}

// fleet is a simulated fleet of data planes with steady clocks of slightly different speeds, over a network that
// loses, delays and doubles messages.
type fleet struct {
	parameters   Parameters
	fault        plantedFault
	random       *rand.Rand
	now          time.Duration
	nodes        []*node
	inFlight     []message
	lastSeen     map[string]time.Duration
	countedSince map[string]time.Duration
	spends       []spentTokens
	lastName     int
	limit        Limit
	// wanted is set while the tenant sends requests, more than its limit.
	requesting bool
}

func newFleet(parameters Parameters, limit Limit, size int, planted plantedFault, seed uint64) *fleet {
	made := &fleet{parameters: parameters, fault: planted, random: rand.New(rand.NewPCG(seed, 1)), lastSeen: map[string]time.Duration{}, countedSince: map[string]time.Duration{}, limit: limit}
	for range size {
		made.join()
	}
	return made
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) clock(one *node) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * one.speed))
}

func (f *fleet) join() {
	f.lastName++
	half := f.parameters.MaxClockDrift / 2
	one := &node{name: fmt.Sprintf("node-%d", f.lastName), speed: 1 + half*(2*f.random.Float64()-1), limit: f.limit}
	f.nodes = append(f.nodes, one)
	f.start(one)
}

// start begins a new life of a data plane, without anything that the last one knew.
func (f *fleet) start(one *node) {
	one.incarnation++
	one.frozen = false
	incarnation := fmt.Sprintf("%s/%d", one.name, one.incarnation)
	now := f.clock(one)
	one.lender = NewLender(f.parameters, one.name, incarnation, now)
	if f.fault == restartForgets {
		one.lender.startedAt = now.Add(-time.Minute)
	}
	one.pool = NewPool(f.parameters, incarnation, now)
	one.pool.SetLimits(map[string]Limit{testTenant: one.limit}, now)
	one.borrower = NewBorrower(f.parameters, one.name)
}

func (f *fleet) leave(one *node) {
	f.nodes = slices.DeleteFunc(f.nodes, func(other *node) bool { return other == one })
}

// touch counts the data planes that are in touch with the control daemons, and tells them the number.
func (f *fleet) updateFleetSize() {
	for _, node := range f.nodes {
		if !node.partitioned && !node.frozen {
			f.lastSeen[node.name] = f.now
			if _, counted := f.countedSince[node.name]; !counted {
				f.countedSince[node.name] = f.now
			}
		}
	}
	count := 0
	for name, at := range f.lastSeen {
		lifetime := f.parameters.SilentExpiry + f.parameters.SilentExpiry/100
		if f.fault == silentExpiredAtOnce {
			lifetime = time.Second
		}
		if f.now-at < lifetime || f.fault == leaversNeverExpire {
			count++
			continue
		}
		delete(f.lastSeen, name)
		delete(f.countedSince, name)
	}
	for _, node := range f.nodes {
		if !node.partitioned && !node.frozen {
			node.lender.UpdateFleetSize(FleetSize{DataPlanes: count, CountedFor: f.now - f.countedSince[node.name], Established: true}, f.clock(node))
			node.pool.SetDataPlaneCount(count)
		}
	}
}

func (f *fleet) members() []string {
	var names []string
	for _, node := range f.nodes {
		names = append(names, node.name)
	}
	return names
}

func (f *fleet) find(name string) *node {
	for _, one := range f.nodes {
		if one.name == name {
			return one
		}
	}
	return nil
}

// round lets the fleet go on for a while.
func (f *fleet) step(passed time.Duration) {
	f.now += passed
	f.spend()
	f.updateFleetSize()
	f.lend()
	f.deliverMessages()
	if f.requesting {
		f.borrow()
	}
	f.deliverMessages()
	if f.random.IntN(2) == 0 {
		f.spend()
	}
}

// lent sums the shares of the tenant's group over all homes.
func (f *fleet) totalShare() float64 {
	sum := 0.0
	for _, node := range f.nodes {
		sum += node.pool.Share(f.parameters.Group(testTenant), f.clock(node))
	}
	return sum
}

// worst is the largest number of tokens spent in a window since the time given.
func (f *fleet) largestWindow(since time.Duration) int {
	most := 0
	for first := range f.spends {
		if f.spends[first].at < since {
			continue
		}
		sum := 0
		for _, one := range f.spends[first:] {
			if one.at-f.spends[first].at > f.parameters.Bounds.Window {
				break
			}
			sum += one.tokens
		}
		most = max(most, sum)
	}
	return most
}
