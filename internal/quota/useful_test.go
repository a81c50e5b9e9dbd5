package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tick is how often the calm fleet of the tests below takes requests.
const tick = 10 * time.Millisecond

// calm is a fleet whose messages arrive at once.
type calm struct {
	*fleet
	admitted int
	calls    int
}

// goOn lets time pass; demand gives the requests that come to a data plane in a tick.
func (c *calm) goOn(passed time.Duration, demand func(position int) int) {
	renewal := c.parameters.Renewal
	for until := c.now + passed; c.now < until; c.now += tick {
		if c.now%renewal < tick {
			c.touch()
			c.lendAll()
		}
		for position, one := range c.nodes {
			for range demand(position) {
				c.request(one)
			}
		}
	}
}

func (c *calm) lendAll() {
	for _, one := range c.nodes {
		for again := true; again; {
			again = false
			for _, offer := range one.lender.Plan(c.members(), c.clock(one)) {
				home := c.find(offer.Home)
				if home.frozen {
					one.lender.Failed(home.name, c.clock(one))
					continue
				}
				reply := home.pool.Lend(offer.Request, c.clock(home))
				again = one.lender.Answered(home.name, reply, c.clock(one)) || again
			}
		}
	}
}

// request admits a request, or refuses it, asking each home once at most.
func (c *calm) request(one *node) {
	now := c.clock(one)
	one.borrower.Arrived(testTenant, now)
	taken := one.borrower.Take(testTenant, now)
	for range c.parameters.Homes {
		if taken || !c.ask(one, now) {
			break
		}
		taken = one.borrower.Take(testTenant, now)
	}
	if taken {
		c.admitted++
		c.spends = append(c.spends, spent{at: c.now, tokens: 1})
	}
}

// ask asks the next home for tokens, if there is one that may have some.
func (c *calm) ask(one *node, now time.Time) bool {
	name, free := one.borrower.Home(testTenant, one.lender.Homes(testTenant), now)
	if !free {
		return false
	}
	c.calls++
	home := c.find(name)
	if home == nil || home.frozen {
		one.borrower.Failed(name, now)
		return true
	}
	question := BorrowRequest{Tenant: testTenant, Want: one.borrower.Want(testTenant, 1, now)}
	one.borrower.Answered(testTenant, name, home.pool.Borrow(question, c.clock(home)), now, now)
	return true
}

func newCalm(limit Limit, size int) *calm {
	made := &calm{fleet: newFleet(DefaultParameters(testBounds), limit, size, soundFleet, 1)}
	made.goOn(13*time.Second, func(int) int { return 0 })
	return made
}

// measured is the part of the limit's rate that was admitted in the time.
func (c *calm) measured(passed time.Duration, demand func(position int) int) float64 {
	c.admitted, c.calls = 0, 0
	c.goOn(passed, demand)
	return float64(c.admitted) / (c.limit.RatePerS * passed.Seconds())
}

func TestGivenATenantBeyondItsLimitThenItGetsTheLimitWhereverItsRequestsCome(t *testing.T) {
	for name, demand := range map[string]func(fleet *calm) func(position int) int{
		"at one data plane": func(*calm) func(int) int {
			return func(position int) int { return 5 * boolToInt(position == 3) }
		},
		"spread over all": func(fleet *calm) func(int) int {
			return func(position int) int { return boolToInt((int(fleet.now/tick)+position)%16 == 0) }
		},
		"moving from zone to zone": func(fleet *calm) func(int) int {
			return func(position int) int { return boolToInt(position%3 == int(fleet.now/time.Second)%3 && position < 15) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []Limit{{RatePerS: 100, Burst: 50}, {RatePerS: 2, Burst: 3}} {
				fleet := newCalm(limit, 40)
				fleet.measured(time.Second, demand(fleet))
				got := fleet.measured(30*time.Second, demand(fleet))
				t.Logf("rate %v: %.3f of the limit, %d calls", limit.RatePerS, got, fleet.calls)
				assert.Assert(t, got >= 0.97, "got %.3f", got)
				assert.Assert(t, float64(fleet.worst(0)) <= testBounds.Allowed(limit))
			}
		})
	}
}

// flood is far more than any limit here, at the data plane given.
func flood(wanted int) func(int) int {
	return func(position int) int { return 20 * boolToInt(position == wanted) }
}

func TestGivenABorrowerThatWasFrozenThenItsOldTokensAreLost(t *testing.T) {
	limit := Limit{RatePerS: 20, Burst: 300}
	for planted, holds := range map[fault]bool{soundFleet: true, tokensNeverExpire: false} {
		fleet := newCalm(limit, 4)
		fleet.fault = planted
		fleet.goOn(20*time.Second, flood(-1))
		frozen, now := fleet.nodes[0], fleet.clock(fleet.nodes[0])
		for _, home := range frozen.lender.Homes(testTenant) {
			reply := fleet.find(home).pool.Borrow(BorrowRequest{Tenant: testTenant, Want: 1000}, now)
			frozen.borrower.Answered(testTenant, home, reply, now, now)
		}
		fleet.goOn(20*time.Second, flood(-1))
		fleet.spend()
		fleet.goOn(time.Second, flood(1))
		assert.Equal(t, float64(fleet.worst(0)) <= testBounds.Allowed(limit), holds)
	}
}

func TestGivenALowerLimitThenItBindsAWindowAfterAllHaveIt(t *testing.T) {
	high, low := Limit{RatePerS: 100, Burst: 50}, Limit{RatePerS: 20, Burst: 5}
	for planted, holds := range map[fault]bool{soundFleet: true, halfLowered: false} {
		fleet := newCalm(high, 8)
		fleet.goOn(5*time.Second, flood(1))
		homes := fleet.nodes[1].lender.Homes(testTenant)
		for _, one := range fleet.nodes {
			if planted != halfLowered || one.name != homes[0] {
				fleet.setLimit(one, low)
			}
		}
		lowered := fleet.now
		fleet.goOn(15*time.Second, flood(1))
		assert.Equal(t, float64(fleet.worst(lowered)) <= testBounds.Allowed(low), holds)
	}
}

func TestGivenDataPlanesThatLeftThenTheirSharesAreGivenAgain(t *testing.T) {
	for planted, holds := range map[fault]bool{soundFleet: true, leaversCountedForever: false} {
		fleet := newCalm(Limit{RatePerS: 100, Burst: 50}, 12)
		fleet.fault = planted
		for range 4 {
			fleet.leave(fleet.nodes[len(fleet.nodes)-1])
		}
		fleet.goOn(fleet.parameters.Counted+fleet.parameters.Term+2*time.Second, flood(1))
		got := fleet.measured(10*time.Second, flood(1))
		assert.Equal(t, got >= 0.97, holds, "got %.3f", got)
	}
}

func TestGivenAHomeThatDiesThenAnotherHasItsShareSoonAfterTheTerm(t *testing.T) {
	fleet := newCalm(Limit{RatePerS: 100, Burst: 50}, 12)
	asking := fleet.nodes[1]
	home := fleet.find(fleet.nodes[1].lender.Homes(testTenant)[0])
	if home == asking {
		asking, home = fleet.nodes[2], fleet.find(fleet.nodes[1].lender.Homes(testTenant)[1])
	}
	home.frozen = true
	there := func(position int) int { return 20 * boolToInt(fleet.nodes[position] == asking) }
	while := fleet.measured(fleet.parameters.Term, there)
	fleet.goOn(fleet.parameters.Renewal, there)
	after := fleet.measured(5*time.Second, there)
	t.Logf("%.3f of the limit in the term, %.3f after it", while, after)
	assert.Assert(t, while >= 0.45)
	assert.Assert(t, after >= 0.97*11/12, "the dead one is still counted")
}

func TestGivenAHomeThatLeavesInOrderThenNothingOfTheLimitIsMissing(t *testing.T) {
	fleet := newCalm(Limit{RatePerS: 100, Burst: 50}, 12)
	fleet.goOn(time.Second, flood(1))
	for _, home := range fleet.nodes[1].lender.Homes(testTenant) {
		fleet.find(home).pool.Leave()
	}
	got := fleet.measured(5*time.Second, flood(1))
	t.Logf("%.3f of the limit", got)
	assert.Assert(t, got >= 0.97, "got %.3f", got)
	assert.Assert(t, float64(fleet.worst(0)) <= testBounds.Allowed(fleet.limit))
}

func TestGivenAHomeThatLendersHaveJustBegunWithThenItTurnsNobodyAwayForGood(t *testing.T) {
	pool, question := NewPool(DefaultParameters(testBounds), "home", epoch), BorrowRequest{Tenant: testTenant, Want: 1}
	pool.SetLimits(map[string]Limit{testTenant: {RatePerS: 2, Burst: 3}}, epoch)
	first := LendRequest{Daemon: "a", Lender: "a/1", Number: 1, Stamp: pool.Lend(LendRequest{}, epoch).Stamp}
	first.Loans = []Loan{{Group: pool.parameters.Group(testTenant), Share: 0.01, Homes: 2}}
	first.Stamp = pool.Lend(first, epoch).Stamp
	assert.DeepEqual(t, pool.Borrow(question, epoch), BorrowReply{Unable: true})
	later := epoch.Add(pool.parameters.Term)
	first.Number, first.Stamp.At = 2, int64(time.Second)
	pool.Lend(first, epoch.Add(time.Second))
	assert.Assert(t, pool.Borrow(question, later).RetryMs > 0)
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
