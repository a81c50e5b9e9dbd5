package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLender_DropsStateOfReplacedHomeShards(t *testing.T) {
	now := epoch
	lender := NewLender(DefaultParameters(testBounds), "lender", "first", now)
	lender.UpdateFleetSize(FleetSize{DataPlanes: 2}, now)
	for replaced := range 200 {
		name := fmt.Sprint("edge-", replaced)
		for _, offer := range lender.Plan([]string{name}, now) {
			reply := LendReply{Stamp: Stamp{Incarnation: name, At: int64(replaced)}}
			if replaced%2 == 0 {
				lender.HandleReply(offer.HomeShard, reply, now)
			} else {
				lender.HandleFailure(offer.HomeShard, now)
			}
		}
		now = now.Add(10 * time.Second)
	}
	lender.Plan([]string{"last"}, now)
	assert.Assert(t, len(lender.homeShards) <= 3, "state of %d home shards is kept", len(lender.homeShards))
}

func TestLender_KeepsStateOfResponsiveHomeShardThatIsNoCandidate(t *testing.T) {
	now := epoch
	lender := NewLender(DefaultParameters(testBounds), "lender", "first", now)
	lender.UpdateFleetSize(FleetSize{DataPlanes: 2}, now)
	lender.Plan([]string{"edge"}, now)
	lender.HandleReply("edge", LendReply{Stamp: Stamp{Incarnation: "x", At: 5}}, now)
	lender.Plan(nil, now)
	assert.Equal(t, lender.homeShard("edge").stamp.At, int64(5), "the stamp is kept")
}

func TestBorrower_DropsStateOfHomeShardsWithoutBackoff(t *testing.T) {
	now := epoch
	borrower := NewBorrower(DefaultParameters(testBounds), "edge")
	borrower.RecordRequest("tenant", now)
	for replaced := range 200 {
		name := fmt.Sprint("edge-", replaced)
		borrower.HandleFailure(name, now)
		borrower.HandleReply("tenant", name, BorrowReply{Unavailable: true}, now, now)
	}
	borrower.DropIdle(now)
	assert.Equal(t, len(borrower.unresponsiveUntil), 200, "all are still in backoff")
	now = now.Add(failureBackoff)
	borrower.RecordRequest("tenant", now)
	borrower.DropIdle(now)
	assert.Equal(t, len(borrower.unresponsiveUntil), 0)
	assert.Equal(t, len(borrower.accounts["tenant"].rejectedUntil), 0)
}
