package quota

import "time"

const (
	// tick is the interval at which a reliable fleet receives requests.
	tick = 10 * time.Millisecond
	// warmUpTime is the time after which all shares of a new fleet are lent.
	warmUpTime = 13 * time.Second
	// floodRequests is the number of requests per tick of a flood, far above the limits of the tests.
	floodRequests = 20
)

// demand returns the number of requests that arrive at the node with the index in the present tick.
type demand func(index int) int

func noDemand(int) int { return 0 }

// floodAt returns a demand far above the limits of the tests at one node.
func floodAt(flooded int) demand {
	return func(index int) int {
		if index != flooded {
			return 0
		}
		return floodRequests
	}
}

// onceIf returns a demand of one request per tick at the nodes for which the condition holds.
func onceIf(condition func(index int) bool) demand {
	return func(index int) int {
		if condition(index) {
			return 1
		}
		return 0
	}
}

// reliableFleet is a fleet whose messages are delivered at once.
type reliableFleet struct {
	*fleet
	admitted int
	calls    int
}

// newReliableFleet returns a fleet in which all shares are lent.
func newReliableFleet(limit Limit, size int) *reliableFleet {
	f := &reliableFleet{fleet: newFleet(DefaultParameters(testBounds), limit, size, noFault, 1)}
	f.advance(warmUpTime, noDemand)
	return f
}

// advance advances the simulated time while requests arrive by the demand.
func (f *reliableFleet) advance(passed time.Duration, demand demand) {
	renewal := f.parameters.RenewalInterval
	for until := f.now + passed; f.now < until; f.now += tick {
		if f.now%renewal < tick {
			f.updateFleetSize()
			f.lendAll()
		}
		for index, node := range f.nodes {
			for range demand(index) {
				f.request(node)
			}
		}
	}
}

// admittedFraction advances the simulated time and returns the rate of admitted requests as a fraction of the limit's.
func (f *reliableFleet) admittedFraction(passed time.Duration, demand demand) float64 {
	f.admitted, f.calls = 0, 0
	f.advance(passed, demand)
	return float64(f.admitted) / (f.limit.RatePerS * passed.Seconds())
}

// lendAll has every node lend to its home shards until its plan is settled.
func (f *reliableFleet) lendAll() {
	for _, node := range f.nodes {
		for f.lendFrom(node) {
		}
	}
}

// lendFrom has a node lend to its home shards and reports whether it is to do so again at once.
func (f *reliableFleet) lendFrom(lender *node) (again bool) {
	for _, offer := range lender.lender.Plan(f.names(), f.clock(lender)) {
		homeShard := f.find(offer.HomeShard)
		if homeShard.frozen {
			lender.lender.HandleFailure(homeShard.name, f.clock(lender))
			continue
		}
		reply := homeShard.pool.Lend(offer.Request, f.clock(homeShard))
		again = lender.lender.HandleReply(homeShard.name, reply, f.clock(lender)) || again
	}
	return again
}

// request admits a request, or rejects it after at most one call to each home shard.
func (f *reliableFleet) request(node *node) {
	now := f.clock(node)
	node.borrower.RecordRequest(testTenant, now)
	admitted := node.borrower.TakeToken(testTenant, now)
	for range f.parameters.HomeShardsPerGroup {
		if admitted || !f.borrowOnce(node, now) {
			break
		}
		admitted = node.borrower.TakeToken(testTenant, now)
	}
	if admitted {
		f.admitted++
		f.spends = append(f.spends, spentTokens{at: f.now, tokens: 1})
	}
}

// borrowOnce requests tokens from the next home shard. It returns false if all home shards are in backoff.
func (f *reliableFleet) borrowOnce(node *node, now time.Time) bool {
	name, found := node.borrower.NextHomeShard(testTenant, node.lender.HomeShards(testTenant), now)
	if !found {
		return false
	}
	f.calls++
	homeShard := f.find(name)
	if homeShard == nil || homeShard.frozen {
		node.borrower.HandleFailure(name, now)
		return true
	}
	request := BorrowRequest{Tenant: testTenant, Tokens: node.borrower.TokensToRequest(testTenant, 1, now)}
	reply := homeShard.pool.Borrow(request, f.clock(homeShard))
	node.borrower.HandleReply(testTenant, name, reply, now, now)
	return true
}
