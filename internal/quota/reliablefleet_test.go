package quota

import "time"

const (
	// tick is how often a reliable fleet takes requests.
	tick = 10 * time.Millisecond
	// warmUpTime is how long a new fleet takes until all shares are lent.
	warmUpTime = 13 * time.Second
	// requestsInFlood is far more than any limit of the tests allows in a tick.
	requestsInFlood = 20
)

// demand gives the number of requests that come to the data plane at a position in a tick.
type demand func(position int) int

func noDemand(int) int { return 0 }

// floodAt is a demand of far more than any limit of the tests, at one data plane.
func floodAt(flooded int) demand {
	return func(position int) int {
		if position != flooded {
			return 0
		}
		return requestsInFlood
	}
}

// onceIf is a demand of one request where and when a condition holds.
func onceIf(condition func(position int) bool) demand {
	return func(position int) int {
		if condition(position) {
			return 1
		}
		return 0
	}
}

// reliableFleet is a fleet whose messages arrive at once.
type reliableFleet struct {
	*fleet
	admitted int
	calls    int
}

// newReliableFleet returns a fleet whose shares are lent.
func newReliableFleet(limit Limit, size int) *reliableFleet {
	f := &reliableFleet{fleet: newFleet(DefaultParameters(testBounds), limit, size, noFault, 1)}
	f.advance(warmUpTime, noDemand)
	return f
}

// advance lets time pass with a demand.
func (f *reliableFleet) advance(passed time.Duration, demand demand) {
	renewal := f.parameters.RenewalInterval
	for until := f.now + passed; f.now < until; f.now += tick {
		if f.now%renewal < tick {
			f.updateFleetSize()
			f.lendAll()
		}
		for position, node := range f.nodes {
			for range demand(position) {
				f.request(node)
			}
		}
	}
}

// admittedFraction lets time pass with a demand and returns which part of the limit's rate was admitted.
func (f *reliableFleet) admittedFraction(passed time.Duration, demand demand) float64 {
	f.admitted, f.calls = 0, 0
	f.advance(passed, demand)
	return float64(f.admitted) / (f.limit.RatePerS * passed.Seconds())
}

func (f *reliableFleet) lendAll() {
	for _, node := range f.nodes {
		for f.lendFrom(node) {
		}
	}
}

// lendFrom has a data plane lend to its home shards and reports whether it is to do so again at once.
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

// request admits a request, or rejects it after asking each home shard once at most.
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

// borrowOnce asks the next home shard for tokens, if there is one that may have some.
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
