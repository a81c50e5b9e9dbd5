package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// injectedFault is a fault injected into the simulated fleet, to verify that the checks detect it.
type injectedFault int

const (
	noFault injectedFault = iota
	// termStartsAtReceipt makes home shards start the term of a loan at its receipt instead of its stamp.
	termStartsAtReceipt
	// repeatsCountTwice makes home shards count a repeated message as a second loan.
	repeatsCountTwice
	// restartLendsAtOnce makes a restarted lender lend at once, while loans of its last incarnation are still in force.
	restartLendsAtOnce
	// silentExpiredAtOnce makes the control planes stop counting a data plane as soon as it is out of contact.
	silentExpiredAtOnce
	// tokensNeverExpire makes borrowers spend tokens of any age.
	tokensNeverExpire
	// lowerLimitMissedByOne keeps a lowered limit from one home shard.
	lowerLimitMissedByOne
	// keepsReleasedShare makes draining home shards use loans that they have released.
	keepsReleasedShare
	// leaversNeverExpire makes the control planes count data planes that have left forever.
	leaversNeverExpire
)

const testTenant = "tenant"

var (
	testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	epoch      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// node is a simulated data plane. Its clock runs at clockSpeed relative to the simulated time.
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

// isConnected reports whether the node is in contact with the control planes.
func (n *node) isConnected() bool { return !n.partitioned && !n.frozen }

// spentTokens is the number of tokens that a node spent at a time.
type spentTokens struct {
	at     time.Duration
	tokens int
}

// fleet is a simulated fleet of data planes whose clocks run at slightly different speeds, connected by a network that
// loses, delays and repeats messages.
type fleet struct {
	parameters   Parameters
	fault        injectedFault
	random       *rand.Rand
	now          time.Duration
	nodes        []*node
	nodesCreated int
	inFlight     []message
	// lastSeen and countedSince are the control planes' state for the data planes that they count.
	lastSeen     map[string]time.Duration
	countedSince map[string]time.Duration
	spends       []spentTokens
	limit        Limit
	// requesting is set while the tenant sends requests above its limit.
	requesting bool
}

func newFleet(parameters Parameters, limit Limit, size int, injected injectedFault, seed uint64) *fleet {
	f := &fleet{
		parameters:   parameters,
		fault:        injected,
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

// clock returns the time on the clock of a node.
func (f *fleet) clock(node *node) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * node.clockSpeed))
}

// join adds a node to the fleet.
func (f *fleet) join() {
	f.nodesCreated++
	maxDeviation := f.parameters.MaxClockDrift / 2
	joined := &node{
		name:       fmt.Sprintf("node-%d", f.nodesCreated),
		clockSpeed: 1 + maxDeviation*(2*f.random.Float64()-1),
		limit:      f.limit,
	}
	f.nodes = append(f.nodes, joined)
	f.start(joined)
}

// start starts a new incarnation of a node, without the state of the previous one.
func (f *fleet) start(node *node) {
	node.incarnation++
	node.frozen = false
	incarnation := fmt.Sprintf("%s/%d", node.name, node.incarnation)
	now := f.clock(node)
	node.lender = NewLender(f.parameters, node.name, incarnation, now)
	if f.fault == restartLendsAtOnce {
		node.lender.startedAt = now.Add(-time.Minute)
	}
	node.pool = NewPool(f.parameters, incarnation, now)
	node.pool.SetLimits(map[string]Limit{testTenant: node.limit}, now)
	node.borrower = NewBorrower(f.parameters, node.name)
}

// leave removes a node from the fleet.
func (f *fleet) leave(left *node) {
	f.nodes = slices.DeleteFunc(f.nodes, func(node *node) bool { return node == left })
}

// setLimit changes the tenant's limit at one node.
func (f *fleet) setLimit(node *node, limit Limit) {
	node.limit = limit
	node.pool.SetLimits(map[string]Limit{testTenant: limit}, f.clock(node))
}

// updateFleetSize has the control planes count the data planes and report the number to those that are in contact.
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

// expireSilent stops counting data planes that have been out of contact for too long.
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

// names returns the names of all nodes.
func (f *fleet) names() []string {
	var names []string
	for _, node := range f.nodes {
		names = append(names, node.name)
	}
	return names
}

// find returns the node with the name, nil if it has left.
func (f *fleet) find(name string) *node {
	for _, node := range f.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// step advances the simulated time, delivers messages, and lends, borrows and spends tokens.
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

// totalShare returns the sum of the shares of the tenant's group over all home shards.
func (f *fleet) totalShare() float64 {
	sum := 0.0
	for _, node := range f.nodes {
		sum += node.pool.Share(f.parameters.Group(testTenant), f.clock(node))
	}
	return sum
}

// largestWindow returns the largest number of tokens spent in any window that begins at or after the given time.
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

// keepsBounds reports whether no window that begins at or after the given time has more requests than a limit allows.
func (f *fleet) keepsBounds(limit Limit, since time.Duration) bool {
	return float64(f.largestWindow(since)) <= f.parameters.Bounds.Allowed(limit)
}
