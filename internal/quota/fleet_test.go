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
	// loansCountFromReceipt: a home shard that was frozen counts the term of an old loan from its receipt.
	loansCountFromReceipt
	// repeatsCountTwice: a repeated message is taken for a second loan.
	repeatsCountTwice
	// restartForgets: a restarted lender lends at once what its last incarnation still has lent.
	restartForgets
	// silentExpiredAtOnce: a data plane that falls silent isn't counted any more at once.
	silentExpiredAtOnce
	// tokensNeverExpire: a borrower that was frozen spends tokens of any age.
	tokensNeverExpire
	// lowerLimitMissedByOne: a lower limit doesn't reach one home shard.
	lowerLimitMissedByOne
	// keepsReleasedShare: a home shard that drains keeps using what it released.
	keepsReleasedShare
	// leaversNeverExpire: a data plane that left is counted for ever.
	leaversNeverExpire
)

const testTenant = "tenant"

var (
	testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	epoch      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// node is a simulated data plane. Its clock runs at a speed of its own.
type node struct {
	name        string
	incarnation int
	clockSpeed  float64
	frozen      bool
	partitioned bool
	lender      *Lender
	pool        *Pool
	borrower    *Borrower
	limit       Limit
}

// isConnected reports whether the node exchanges messages with the control daemons.
func (n *node) isConnected() bool { return !n.partitioned && !n.frozen }

// spentTokens is a number of requests that ran at a time.
type spentTokens struct {
	at     time.Duration
	tokens int
}

// fleet is a simulated fleet of data planes with clocks of slightly different speeds, over a network that loses,
// delays and repeats messages.
type fleet struct {
	parameters Parameters
	fault      plantedFault
	random     *rand.Rand
	now        time.Duration
	nodes      []*node
	nodesMade  int
	inFlight   []message
	// lastSeen and countedSince are what the control daemons know of the data planes that they count.
	lastSeen     map[string]time.Duration
	countedSince map[string]time.Duration
	spends       []spentTokens
	limit        Limit
	// requesting is set while the tenant sends requests, more than its limit.
	requesting bool
}

func newFleet(parameters Parameters, limit Limit, size int, planted plantedFault, seed uint64) *fleet {
	f := &fleet{
		parameters:   parameters,
		fault:        planted,
		random:       rand.New(rand.NewPCG(seed, 1)),
		lastSeen:     map[string]time.Duration{},
		countedSince: map[string]time.Duration{},
		limit:        limit,
	}
	for range size {
		f.join()
	}
	return f
}

func (f *fleet) clock(node *node) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * node.clockSpeed))
}

func (f *fleet) join() {
	f.nodesMade++
	maxDeviation := f.parameters.MaxClockDrift / 2
	joined := &node{
		name:       fmt.Sprintf("node-%d", f.nodesMade),
		clockSpeed: 1 + maxDeviation*(2*f.random.Float64()-1),
		limit:      f.limit,
	}
	f.nodes = append(f.nodes, joined)
	f.start(joined)
}

// start starts a new incarnation of a data plane, without anything that the last one knew.
func (f *fleet) start(node *node) {
	node.incarnation++
	node.frozen = false
	incarnation := fmt.Sprintf("%s/%d", node.name, node.incarnation)
	now := f.clock(node)
	node.lender = NewLender(f.parameters, node.name, incarnation, now)
	if f.fault == restartForgets {
		node.lender.startedAt = now.Add(-time.Minute)
	}
	node.pool = NewPool(f.parameters, incarnation, now)
	node.pool.SetLimits(map[string]Limit{testTenant: node.limit}, now)
	node.borrower = NewBorrower(f.parameters, node.name)
}

func (f *fleet) leave(left *node) {
	f.nodes = slices.DeleteFunc(f.nodes, func(node *node) bool { return node == left })
}

func (f *fleet) setLimit(node *node, limit Limit) {
	node.limit = limit
	node.pool.SetLimits(map[string]Limit{testTenant: limit}, f.clock(node))
}

// updateFleetSize has the control daemons count the data planes that are in contact with them, and tell these the
// number.
func (f *fleet) updateFleetSize() {
	for _, node := range f.nodes {
		if !node.isConnected() {
			continue
		}
		f.lastSeen[node.name] = f.now
		if _, counted := f.countedSince[node.name]; !counted {
			f.countedSince[node.name] = f.now
		}
	}
	f.expireSilent()
	count := len(f.lastSeen)
	for _, node := range f.nodes {
		if !node.isConnected() {
			continue
		}
		size := FleetSize{
			DataPlanes:  count,
			CountedFor:  f.now - f.countedSince[node.name],
			Established: true,
		}
		node.lender.UpdateFleetSize(size, f.clock(node))
		node.pool.SetDataPlaneCount(count)
	}
}

func (f *fleet) expireSilent() {
	expiry := f.parameters.SilentExpiry + f.parameters.SilentExpiry/100
	if f.fault == silentExpiredAtOnce {
		expiry = time.Second
	}
	for name, at := range f.lastSeen {
		if f.now-at >= expiry && f.fault != leaversNeverExpire {
			delete(f.lastSeen, name)
			delete(f.countedSince, name)
		}
	}
}

func (f *fleet) names() []string {
	var names []string
	for _, node := range f.nodes {
		names = append(names, node.name)
	}
	return names
}

// find returns the node of a name, nil if it left.
func (f *fleet) find(name string) *node {
	for _, node := range f.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// step lets some time pass.
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

// totalShare sums the shares of the tenant's group over all home shards.
func (f *fleet) totalShare() float64 {
	sum := 0.0
	for _, node := range f.nodes {
		sum += node.pool.Share(f.parameters.Group(testTenant), f.clock(node))
	}
	return sum
}

// largestWindow is the largest number of tokens spent in a window that begins at the given time or later.
func (f *fleet) largestWindow(since time.Duration) int {
	largest := 0
	for first, begin := range f.spends {
		if begin.at < since {
			continue
		}
		sum := 0
		for _, spent := range f.spends[first:] {
			if spent.at-begin.at > f.parameters.Bounds.Window {
				break
			}
			sum += spent.tokens
		}
		largest = max(largest, sum)
	}
	return largest
}

// keepsBounds reports whether no window that begins at the given time or later has more requests than a limit allows.
func (f *fleet) keepsBounds(limit Limit, since time.Duration) bool {
	return float64(f.largestWindow(since)) <= f.parameters.Bounds.Allowed(limit)
}
