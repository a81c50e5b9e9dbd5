package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// sendOrderAs sends a load to a replica as a former lease holder, which the fleet no longer knows.
func (f *fleet) sendOrderAs(leaseHolder string, fence uint64, standIn *standInReplica, model string) int {
	body := fmt.Sprintf(`{"operation":%q,"modelId":%q,"leaseHolder":%q,"fenceToken":%d,"expectedCount":%d}`,
		replica.OperationLoad, model, leaseHolder, fence, standIn.orderCount())
	header := map[string]string{replica.HeaderTargetReplica: standIn.listed.ID}
	return f.call(http.MethodPost, standIn.listed.Address, "/ferryspar/order", body, header).status
}

func TestReplicaOrders_LateOrderOfFormerLeaseHolderKeepsCapacity(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2100 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				f := startSettledFleet(t, 1, standIn)
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.sendOrderAs("daemon-before", 1, standIn, "other"), http.StatusAccepted)
				time.Sleep(delay)
				got := f.request(1, "attempt-1", "/patient/", "rare")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, !standIn.overCapacity, "%+v", standIn.receivedOrders())
			})
		})
	}
}

func TestReplicaOrders_UnseenChangeIsPolledAndUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.sendOrderAs("daemon-before", 1, standIn, "other"), http.StatusAccepted)
		time.Sleep(8 * time.Second)
		before := len(standIn.receivedOrders())
		assert.Equal(t, f.request(1, "attempt-1", "/patient/", "other").status, http.StatusOK)
		assert.Equal(t, len(standIn.receivedOrders()), before, "it needed no load")
	})
}
