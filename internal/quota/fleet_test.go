package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a mistake planted in the simulated fleet, to see that the checks find it.
type fault int

const (
	soundFleet fault = iota
	// loansCountFromReceipt: a home that was frozen takes an old loan for a fresh one.
	loansCountFromReceipt
	// repeatsCountTwice: a doubled message is taken for a second loan.
	repeatsCountTwice
	// restartForgets: a restarted lender lends at once what its last life still has lent.
	restartForgets
	// silentNotCounted: a data plane that falls silent isn't counted any more at once.
	silentNotCounted
	// tokensNeverExpire: a thawed borrower spends tokens of any age.
	tokensNeverExpire
	// halfLowered: a lower limit reaches only every second data plane.
	halfLowered
	// releasedButKept: a home that leaves goes on with what it released.
	releasedButKept
	// leaversCountedForever: the share of a data plane that left is never given again.
	leaversCountedForever
)

const testTenant = "tenant"

type node struct {
	name          string
	lives         int
	speed         float64
	frozen, apart bool
	lender        *Lender
	pool          *Pool
	borrower      *Borrower
	limit         Limit
}

// message is under way until it is delivered to the life that it is for; the answer is made on delivery.
type message struct {
	to      *node
	life    int
	from    *node
	deliver func(repeated bool)
}

type spent struct {
	at     time.Duration
	tokens int
}

// fleet is a simulated fleet of data planes with steady clocks of slightly different speeds, over a network that
// loses, delays and doubles messages.
type fleet struct {
	parameters Parameters
	fault      fault
	random     *rand.Rand
	now        time.Duration
	nodes      []*node
	under      []message
	seen       map[string]time.Duration
	known      map[string]time.Duration
	spends     []spent
	named      int
	limit      Limit
	// wanted is set while the tenant sends requests, more than its limit.
	wanted bool
}

func newFleet(parameters Parameters, limit Limit, size int, planted fault, seed uint64) *fleet {
	made := &fleet{parameters: parameters, fault: planted, random: rand.New(rand.NewPCG(seed, 1)), seen: map[string]time.Duration{}, known: map[string]time.Duration{}, limit: limit}
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
	f.named++
	half := f.parameters.Drift / 2
	one := &node{name: fmt.Sprintf("node-%d", f.named), speed: 1 + half*(2*f.random.Float64()-1), limit: f.limit}
	f.nodes = append(f.nodes, one)
	f.start(one)
}

// start begins a new life of a data plane, without anything that the last one knew.
func (f *fleet) start(one *node) {
	one.lives++
	one.frozen = false
	life := fmt.Sprintf("%s/%d", one.name, one.lives)
	now := f.clock(one)
	one.lender = NewLender(f.parameters, one.name, life, now)
	if f.fault == restartForgets {
		one.lender.born = now.Add(-time.Minute)
	}
	one.pool = NewPool(f.parameters, life, now)
	one.pool.SetLimits(map[string]Limit{testTenant: one.limit}, now)
	one.borrower = NewBorrower(f.parameters, one.name)
}

func (f *fleet) leave(one *node) {
	f.nodes = slices.DeleteFunc(f.nodes, func(other *node) bool { return other == one })
}

// touch counts the data planes that are in touch with the control daemons, and tells them the number.
func (f *fleet) touch() {
	for _, one := range f.nodes {
		if !one.apart && !one.frozen {
			f.seen[one.name] = f.now
			if _, counted := f.known[one.name]; !counted {
				f.known[one.name] = f.now
			}
		}
	}
	count := 0
	for name, at := range f.seen {
		lifetime := f.parameters.Counted + f.parameters.Counted/100
		if f.fault == silentNotCounted {
			lifetime = time.Second
		}
		if f.now-at < lifetime || f.fault == leaversCountedForever {
			count++
			continue
		}
		delete(f.seen, name)
		delete(f.known, name)
	}
	for _, one := range f.nodes {
		if !one.apart && !one.frozen {
			one.lender.Touch(Count{DataPlanes: count, Since: f.now - f.known[one.name], Sure: true}, f.clock(one))
			one.pool.SetCount(count)
		}
	}
}

func (f *fleet) members() []string {
	var names []string
	for _, one := range f.nodes {
		names = append(names, one.name)
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
func (f *fleet) round(passed time.Duration) {
	f.now += passed
	f.spend()
	f.touch()
	f.lend()
	f.carry()
	if f.wanted {
		f.borrow()
	}
	f.carry()
	if f.random.IntN(2) == 0 {
		f.spend()
	}
}

// lent sums the shares of the tenant's group over all homes.
func (f *fleet) lent() float64 {
	sum := 0.0
	for _, one := range f.nodes {
		sum += one.pool.Share(f.parameters.Group(testTenant), f.clock(one))
	}
	return sum
}

// worst is the largest number of tokens spent in a window since the time given.
func (f *fleet) worst(since time.Duration) int {
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
