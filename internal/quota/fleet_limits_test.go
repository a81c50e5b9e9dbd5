package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFleet_AdmitsFullLimitWhereverRequestsArrive(t *testing.T) {
	for name, demandOn := range map[string]func(fleet *reliableFleet) demand{
		"at one data plane": func(*reliableFleet) demand {
			return func(index int) int {
				if index == 3 {
					return 5
				}
				return 0
			}
		},
		"spread over all": func(fleet *reliableFleet) demand {
			return onceIf(func(index int) bool { return (int(fleet.now/tick)+index)%16 == 0 })
		},
		"moving from zone to zone": func(fleet *reliableFleet) demand {
			return onceIf(func(index int) bool {
				return index%3 == int(fleet.now/time.Second)%3 && index < 15
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []Limit{{RatePerS: 100, Burst: 50}, {RatePerS: 2, Burst: 3}} {
				fleet := newReliableFleet(limit, 40)
				fleet.admittedFraction(time.Second, demandOn(fleet))
				got := fleet.admittedFraction(30*time.Second, demandOn(fleet))
				t.Logf("rate %v: %.3f of the limit, %d calls", limit.RatePerS, got, fleet.calls)
				assert.Assert(t, got >= 0.97, "got %.3f", got)
				assert.Assert(t, fleet.keepsBounds(limit, 0))
			}
		})
	}
}

// withAndWithout runs a test without a fault, where a property must hold, and with an injected fault, where it must not.
func withAndWithout(t *testing.T, fault injectedFault, test func(t *testing.T, injected injectedFault, holds bool)) {
	t.Helper()
	t.Run("without fault", func(t *testing.T) { test(t, noFault, true) })
	t.Run("with fault", func(t *testing.T) { test(t, fault, false) })
}

func TestBorrower_LosesExpiredTokensAfterFreeze(t *testing.T) {
	limit := Limit{RatePerS: 20, Burst: 300}
	withAndWithout(t, tokensNeverExpire, func(t *testing.T, injected injectedFault, holds bool) {
		fleet := newReliableFleet(limit, 4)
		fleet.fault = injected
		fleet.advance(20*time.Second, noDemand)
		frozen, now := fleet.nodes[0], fleet.clock(fleet.nodes[0])
		for _, homeShard := range frozen.lender.HomeShards(testTenant) {
			reply := fleet.find(homeShard).pool.Borrow(BorrowRequest{Tenant: testTenant, Tokens: 1000}, now)
			frozen.borrower.HandleReply(testTenant, homeShard, reply, now, now)
		}
		fleet.advance(20*time.Second, noDemand)
		fleet.spend()
		fleet.advance(time.Second, floodAt(1))
		assert.Equal(t, fleet.keepsBounds(limit, 0), holds)
	})
}

func TestPool_LowerLimitHoldsOnceAllHomeShardsHaveIt(t *testing.T) {
	high, low := Limit{RatePerS: 100, Burst: 50}, Limit{RatePerS: 20, Burst: 5}
	withAndWithout(t, lowerLimitMissedByOne, func(t *testing.T, injected injectedFault, holds bool) {
		fleet := newReliableFleet(high, 8)
		fleet.advance(5*time.Second, floodAt(1))
		homeShards := fleet.nodes[1].lender.HomeShards(testTenant)
		for _, node := range fleet.nodes {
			if injected != lowerLimitMissedByOne || node.name != homeShards[0] {
				fleet.setLimit(node, low)
			}
		}
		lowered := fleet.now
		fleet.advance(15*time.Second, floodAt(1))
		assert.Equal(t, fleet.keepsBounds(low, lowered), holds)
	})
}

func TestFleet_RedistributesSharesOfLeavers(t *testing.T) {
	withAndWithout(t, leaversNeverExpire, func(t *testing.T, injected injectedFault, holds bool) {
		fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
		fleet.fault = injected
		for range 4 {
			fleet.leave(fleet.nodes[len(fleet.nodes)-1])
		}
		fleet.advance(fleet.parameters.SilentExpiry+fleet.parameters.LoanTerm+2*time.Second, floodAt(1))
		got := fleet.admittedFraction(10*time.Second, floodAt(1))
		assert.Equal(t, got >= 0.97, holds, "got %.3f", got)
	})
}

func TestFleet_ReplacesDeadHomeShardAfterTerm(t *testing.T) {
	fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
	borrower := fleet.nodes[1]
	homeShards := borrower.lender.HomeShards(testTenant)
	homeShard := fleet.find(homeShards[0])
	if homeShard == borrower {
		borrower, homeShard = fleet.nodes[2], fleet.find(homeShards[1])
	}
	homeShard.frozen = true
	flood := floodAt(slices.Index(fleet.nodes, borrower))
	during := fleet.admittedFraction(fleet.parameters.LoanTerm, flood)
	fleet.advance(fleet.parameters.RenewalInterval, flood)
	after := fleet.admittedFraction(5*time.Second, flood)
	t.Logf("%.3f of the limit in the term, %.3f after it", during, after)
	assert.Assert(t, during >= 0.45)
	assert.Assert(t, after >= 0.97*11/12, "the failed data plane's share is not yet redistributed")
}

func TestFleet_KeepsFullLimitWhileHomeShardDrains(t *testing.T) {
	fleet := newReliableFleet(Limit{RatePerS: 100, Burst: 50}, 12)
	fleet.advance(time.Second, floodAt(1))
	for _, homeShard := range fleet.nodes[1].lender.HomeShards(testTenant) {
		fleet.find(homeShard).pool.Drain()
	}
	got := fleet.admittedFraction(5*time.Second, floodAt(1))
	t.Logf("%.3f of the limit", got)
	assert.Assert(t, got >= 0.97, "got %.3f", got)
	assert.Assert(t, fleet.keepsBounds(fleet.limit, 0))
}

func TestPool_FreshHomeShardIsUnavailableNotOverLimit(t *testing.T) {
	pool := NewPool(DefaultParameters(testBounds), "home", epoch)
	pool.SetLimits(map[string]Limit{testTenant: {RatePerS: 2, Burst: 3}}, epoch)
	lend := LendRequest{
		DataPlane:         "a",
		LenderIncarnation: "a/1",
		Sequence:          1,
		Stamp:             pool.Lend(LendRequest{}, epoch).Stamp,
		Loans:             []Loan{{Group: pool.parameters.Group(testTenant), Share: 0.01, HomeShardCount: 2}},
	}
	borrow := BorrowRequest{Tenant: testTenant, Tokens: 1}
	lend.Stamp = pool.Lend(lend, epoch).Stamp
	assert.DeepEqual(t, pool.Borrow(borrow, epoch), BorrowReply{Unavailable: true})
	later := epoch.Add(pool.parameters.LoanTerm)
	lend.Sequence, lend.Stamp.At = 2, int64(time.Second)
	pool.Lend(lend, epoch.Add(time.Second))
	assert.Assert(t, pool.Borrow(borrow, later).RetryAfterMs > 0)
}

func TestPool_TooFewTokensShortlyAfterFirstLoanIsNotOverLimit(t *testing.T) {
	pool := NewPool(DefaultParameters(testBounds), "home", epoch)
	pool.SetLimits(map[string]Limit{testTenant: {RatePerS: 2, Burst: 3}}, epoch)
	lend := LendRequest{
		DataPlane:         "a",
		LenderIncarnation: "a/1",
		Sequence:          1,
		Stamp:             pool.Lend(LendRequest{}, epoch).Stamp,
		Loans:             []Loan{{Group: pool.parameters.Group(testTenant), Share: 0.5, HomeShardCount: 2}},
	}
	pool.Lend(lend, epoch)
	reply := pool.Borrow(BorrowRequest{Tenant: testTenant, Tokens: 1000}, epoch)
	assert.Assert(t, reply.Tokens > 0)
	assert.Equal(t, reply.RetryAfterMs, int64(0), "the other lenders' shares have not arrived yet")
	wait := pool.TimeToNextToken(testTenant, time.Minute, epoch)
	assert.Assert(t, wait > 0 && wait <= time.Second, "%s at one token per second", wait)
	assert.Equal(t, pool.TimeToNextToken("unknown", time.Minute, epoch), time.Minute)
}

func TestBorrower_TokenTTLStartsAfterHoldTime(t *testing.T) {
	parameters := DefaultParameters(testBounds)
	borrower := NewBorrower(parameters, "a")
	requestedAt := epoch
	repliedAt := requestedAt.Add(420 * time.Millisecond)
	borrower.HandleReply(testTenant, "home", BorrowReply{Tokens: 1, HeldMs: 400}, requestedAt, repliedAt)
	assert.Assert(t, borrower.TakeToken(testTenant, repliedAt), "granted 20 ms ago")
	borrower.HandleReply(testTenant, "home", BorrowReply{Tokens: 1, HeldMs: 400}, requestedAt, repliedAt)
	expiry := requestedAt.Add(400*time.Millisecond + parameters.TokenTTL)
	assert.Assert(t, !borrower.TakeToken(testTenant, expiry), "expired")
}

func TestBorrower_RequestsHoldAfterUnavailableReply(t *testing.T) {
	borrower := NewBorrower(DefaultParameters(testBounds), "a")
	assert.Equal(t, borrower.MaxHold(testTenant, "home", epoch), time.Duration(0))
	borrower.HandleReply(testTenant, "home", BorrowReply{Unavailable: true}, epoch, epoch)
	assert.Equal(t, borrower.MaxHold(testTenant, "home", epoch.Add(holdPeriod)), borrowHold)
	assert.Equal(t, borrower.MaxHold(testTenant, "other", epoch), time.Duration(0))
	assert.Equal(t, borrower.MaxHold(testTenant, "home", epoch.Add(holdPeriod+time.Millisecond)), time.Duration(0))
}

func TestLender_ReservesPartOfHomeShardThatHasNotRepliedYet(t *testing.T) {
	parameters := DefaultParameters(testBounds)
	lender := NewLender(parameters, "a", "a/1", epoch)
	lender.UpdateFleetSize(FleetSize{DataPlanes: 4}, epoch)
	candidates := []string{"home-1", "home-2"}
	lender.Plan(candidates, epoch)
	first := RankHomeShards(0, candidates)[0]
	lender.HandleReply(first, LendReply{Stamp: Stamp{Incarnation: "x", At: 1}}, epoch)
	shares := map[string]float64{}
	plan := func() {
		for _, offer := range lender.Plan(candidates, epoch) {
			for _, loan := range offer.Request.Loans {
				if loan.Group == 0 {
					shares[offer.HomeShard] = loan.Share
				}
			}
		}
	}
	plan()
	assert.Equal(t, shares[first], 0.125, "half of a quarter")
	second := RankHomeShards(0, candidates)[1]
	lender.HandleReply(second, LendReply{Stamp: Stamp{Incarnation: "y", At: 1}}, epoch)
	plan()
	assert.Equal(t, shares[second], 0.125)

	lender.HandleFailure(second, epoch)
	lender.HandleFailure(second, epoch)
	plan()
	assert.Equal(t, shares[first], 0.125, "the failed home shard's part is leased until its term ends")
}
