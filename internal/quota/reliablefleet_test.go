package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tick is how often the calm fleet of the tests below takes requests.
const tick = 10 * time.Millisecond

// reliableFleet is a fleet whose messages arrive at once.
type reliableFleet struct {
	*fleet
	admitted int
	calls    int
}

// advance lets time pass; demand gives the requests that come to a data plane in a tick.
func (c *reliableFleet) advance(passed time.Duration, demand func(position int) int) {
	renewal := c.parameters.RenewalInterval
	for until := c.now + passed; c.now < until; c.now += tick {
		if c.now%renewal < tick {
			c.updateFleetSize()
			c.lendAll()
		}
		for position, node := range c.nodes {
			for range demand(position) {
				c.request(node)
			}
		}
	}
}

func (c *reliableFleet) lendAll() {
	for _, node := range c.nodes {
		for again := true; again; {
			again = false
			for _, offer := range node.lender.Plan(c.members(), c.clock(node)) {
				homeShard := c.find(offer.HomeShard)
				if homeShard.frozen {
					node.lender.HandleFailure(homeShard.name, c.clock(node))
					continue
				}
				reply := homeShard.pool.Lend(offer.Request, c.clock(homeShard))
				again = node.lender.HandleReply(homeShard.name, reply, c.clock(node)) || again
			}
		}
	}
}

// request admits a request, or refuses it, asking each home once at most.
func (c *reliableFleet) request(one *node) {
	now := c.clock(one)
	one.borrower.RecordRequest(testTenant, now)
	taken := one.borrower.TakeToken(testTenant, now)
	for range c.parameters.HomeShardsPerGroup {
		if taken || !c.borrowOnce(one, now) {
			break
		}
		taken = one.borrower.TakeToken(testTenant, now)
	}
	if taken {
		c.admitted++
		c.spends = append(c.spends, spentTokens{at: c.now, tokens: 1})
	}
}

// ask asks the next home for tokens, if there is one that may have some.
func (c *reliableFleet) borrowOnce(one *node, now time.Time) bool {
	name, free := one.borrower.NextHomeShard(testTenant, one.lender.HomeShards(testTenant), now)
	if !free {
		return false
	}
	c.calls++
	homeShard := c.find(name)
	if homeShard == nil || homeShard.frozen {
		one.borrower.HandleFailure(name, now)
		return true
	}
	question := BorrowRequest{Tenant: testTenant, Want: one.borrower.TokensToRequest(testTenant, 1, now)}
	one.borrower.HandleReply(testTenant, name, homeShard.pool.Borrow(question, c.clock(homeShard)), now, now)
	return true
}

func newReliableFleet(limit Limit, size int) *reliableFleet {
	made := &reliableFleet{fleet: newFleet(DefaultParameters(testBounds), limit, size, noFault, 1)}
	made.advance(13*time.Second, func(int) int { return 0 })
	return made
}

// measured is the part of the limit's rate that was admitted in the time.
func (c *reliableFleet) admittedFraction(passed time.Duration, demand func(position int) int) float64 {
	c.admitted, c.calls = 0, 0
	c.advance(passed, demand)
	return float64(c.admitted) / (c.limit.RatePerS * passed.Seconds())
}

func TestFleet_AdmitsFullLimitWhereverRequestsArrive(t *testing.T) {
	for name, demand := range map[string]func(fleet *reliableFleet) func(position int) int{
		"at one data plane": func(*reliableFleet) func(int) int {
			return func(position int) int { return 5 * boolToInt(position == 3) }
		},
		"spread over all": func(fleet *reliableFleet) func(int) int {
			return func(position int) int { return boolToInt((int(fleet.now/tick)+position)%16 == 0) }
		},
		"moving from zone to zone": func(fleet *reliableFleet) func(int) int {
			return func(position int) int { return boolToInt(position%3 == int(fleet.now/time.Second)%3 && position < 15) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []Limit{{RatePerS: 100, Burst: 50}, {RatePerS: 2, Burst: 3}} {
				fleet := newReliableFleet(limit, 40)
				fleet.admittedFraction(time.Second, demand(fleet))
				got := fleet.admittedFraction(30*time.Second, demand(fleet))
				t.Logf("rate %v: %.3f of the limit, %d calls", limit.RatePerS, got, fleet.calls)
				assert.Assert(t, got >= 0.97, "got %.3f", got)
				assert.Assert(t, float64(fleet.largestWindow(0)) <= testBounds.Allowed(limit))
			}
		})
	}
}

// flood is far more than any limit here, at the data plane given.
func flood(wanted int) func(int) int {
	return func(position int) int { return 20 * boolToInt(position == wanted) }
}

func TestBorrower_LosesExpiredTokensAfterFreeze(t *testing.T) {
	limit := Limit{RatePerS: 20, Burst: 300}
	for planted, holds := range map[plantedFault]bool{noFault: true, tokensNeverExpire: false} {
		fleet := newReliableFleet(limit, 4)
		fleet.fault = planted
		fleet.advance(20*time.Second, flood(-1))
		frozen, now := fleet.nodes[0], fleet.clock(fleet.nodes[0])
		for _, homeShard := range frozen.lender.HomeShards(testTenant) {
			reply := fleet.find(homeShard).pool.Borrow(BorrowRequest{Tenant: testTenant, Want: 1000}, now)
			frozen.borrower.HandleReply(testTenant, homeShard, reply, now, now)
		}
		fleet.advance(20*time.Second, flood(-1))
		fleet.spend()
		fleet.advance(time.Second, flood(1))
		assert.Equal(t, float64(fleet.largestWindow(0)) <= testBounds.Allowed(limit), holds)
	}
}

func TestPool_LowerLimitBindsOnceAllHaveIt(t *testing.T) {
	high, low := Limit{RatePerS: 100, Burst: 50}, Limit{RatePerS: 20, Burst: 5}
	for planted, holds := range map[plantedFault]bool{noFault: true, lowerLimitMissedByOne: false} {
		fleet := newReliableFleet(high, 8)
		fleet.advance(5*time.Second, flood(1))
		homeShards := fleet.nodes[1].lender.HomeShards(testTenant)
		for _, node := range fleet.nodes {
			if planted != lowerLimitMissedByOne || node.name != homeShards[0] {
				fleet.setLimit(node, low)
			}
		}
		lowered := fleet.now
		fleet.advance(15*time.Second, flood(1))
		assert.Equal(t, float64(fleet.largestWindow(lowered)) <= testBounds.Allowed(low), holds)
	}
}

func TestFleet_RedistributesSharesOfLeavers(t *testing.T) {
	for planted, holds := range map[plantedFault]bool{noFault: true, leaversNeverExpire: false} {
		fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
		fleet.fault = planted
		for range 4 {
			fleet.leave(fleet.nodes[len(fleet.nodes)-1])
		}
		fleet.advance(fleet.parameters.SilentExpiry+fleet.parameters.LoanTerm+2*time.Second, flood(1))
		got := fleet.admittedFraction(10*time.Second, flood(1))
		assert.Equal(t, got >= 0.97, holds, "got %.3f", got)
	}
}

func TestFleet_ReplacesDeadHomeShardAfterTerm(t *testing.T) {
	fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
	asking := fleet.nodes[1]
	homeShard := fleet.find(fleet.nodes[1].lender.HomeShards(testTenant)[0])
	if homeShard == asking {
		asking, homeShard = fleet.nodes[2], fleet.find(fleet.nodes[1].lender.HomeShards(testTenant)[1])
	}
	homeShard.frozen = true
	there := func(position int) int { return 20 * boolToInt(fleet.nodes[position] == asking) }
	while := fleet.admittedFraction(fleet.parameters.LoanTerm, there)
	fleet.advance(fleet.parameters.RenewalInterval, there)
	after := fleet.admittedFraction(5*time.Second, there)
	t.Logf("%.3f of the limit in the term, %.3f after it", while, after)
	assert.Assert(t, while >= 0.45)
	assert.Assert(t, after >= 0.97*11/12, "the dead one is still counted")
}

func TestFleet_KeepsFullLimitWhileHomeShardDrains(t *testing.T) {
	fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
	fleet.advance(time.Second, flood(1))
	for _, homeShard := range fleet.nodes[1].lender.HomeShards(testTenant) {
		fleet.find(homeShard).pool.Drain()
	}
	got := fleet.admittedFraction(5*time.Second, flood(1))
	t.Logf("%.3f of the limit", got)
	assert.Assert(t, got >= 0.97, "got %.3f", got)
	assert.Assert(t, float64(fleet.largestWindow(0)) <= testBounds.Allowed(fleet.limit))
}

func TestPool_FreshHomeShardIsUnavailableNotOverLimit(t *testing.T) {
	pool, question := NewPool(DefaultParameters(testBounds), "home", epoch), BorrowRequest{Tenant: testTenant, Want: 1}
	pool.SetLimits(map[string]Limit{testTenant: {RatePerS: 2, Burst: 3}}, epoch)
	first := LendRequest{DataPlane: "a", LenderIncarnation: "a/1", Sequence: 1, Stamp: pool.Lend(LendRequest{}, epoch).Stamp}
	first.Loans = []Loan{{Group: pool.parameters.Group(testTenant), Share: 0.01, HomeShards: 2}}
	first.Stamp = pool.Lend(first, epoch).Stamp
	assert.DeepEqual(t, pool.Borrow(question, epoch), BorrowReply{Unavailable: true})
	later := epoch.Add(pool.parameters.LoanTerm)
	first.Sequence, first.Stamp.At = 2, int64(time.Second)
	pool.Lend(first, epoch.Add(time.Second))
	assert.Assert(t, pool.Borrow(question, later).RetryAfterMs > 0)
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
