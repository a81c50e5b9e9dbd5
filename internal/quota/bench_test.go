package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sizes are the fleet sizes of the benchmarks.
var sizes = []struct{ dataPlanes, tenants int }{{80, 83}, {380, 83}, {380, 10000}}

// filledPool returns the pool of a home shard to which all data planes have lent their part of one group, and their requests.
func filledPool(dataPlanes, tenants int) (pool *Pool, requests []LendRequest, limits map[string]Limit, now time.Time) {
	parameters, now := DefaultParameters(testBounds), epoch
	pool = NewPool(parameters, "home", now)
	limits = map[string]Limit{}
	for number := range tenants {
		limits[fmt.Sprintf("tenant-%d", number)] = Limit{RatePerS: 3, Burst: 5}
	}
	pool.SetLimits(limits, now)
	pool.SetDataPlaneCount(dataPlanes)
	stamp := pool.Lend(LendRequest{}, now).Stamp
	for number := range dataPlanes {
		loans := []Loan{{Group: 0, Share: 1 / float64(2*dataPlanes), HomeShardCount: 2}}
		requests = append(requests, LendRequest{
			DataPlane:         fmt.Sprintf("data-%d", number),
			LenderIncarnation: fmt.Sprintf("data-%d/x", number),
			Sequence:          1,
			Stamp:             stamp,
			Loans:             loans,
		})
		pool.Lend(requests[number], now)
	}
	return pool, requests, limits, now
}

func BenchmarkPool_Lend(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("dataPlanes=%d/tenants=%d", size.dataPlanes, size.tenants), func(b *testing.B) {
			pool, requests, _, now := filledPool(size.dataPlanes, size.tenants)
			content, _ := json.Marshal(requests[0])
			position := 0
			for b.Loop() {
				request := &requests[position%len(requests)]
				request.Sequence++
				request.Stamp = pool.Lend(*request, now).Stamp
				position++
			}
			b.ReportMetric(float64(len(content)), "bytes/message")
		})
	}
}

func BenchmarkPool_Borrow(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("dataPlanes=%d/tenants=%d", size.dataPlanes, size.tenants), func(b *testing.B) {
			pool, _, limits, now := filledPool(size.dataPlanes, size.tenants)
			request := BorrowRequest{Tokens: 1}
			for tenant := range limits {
				if pool.parameters.Group(tenant) == 0 {
					request.Tenant = tenant
				}
			}
			for b.Loop() {
				pool.Borrow(request, now)
			}
		})
	}
}

// BenchmarkLender_Plan includes the handling of the requests by the home shards.
func BenchmarkLender_Plan(b *testing.B) {
	for _, candidates := range []int{8, 32} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			fleet := newReliableFleet(Limit{RatePerS: 1}, candidates)
			node, names := fleet.nodes[0], fleet.names()
			for b.Loop() {
				fleet.now += fleet.parameters.RenewalInterval
				fleet.updateFleetSize()
				for _, offer := range node.lender.Plan(names, fleet.clock(node)) {
					homeShard := fleet.find(offer.HomeShard)
					reply := homeShard.pool.Lend(offer.Request, fleet.clock(homeShard))
					node.lender.HandleReply(homeShard.name, reply, fleet.clock(node))
				}
			}
		})
	}
}
