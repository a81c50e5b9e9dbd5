package story

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// orderAs sends a load to a replica as a holder of the placement lease would that the fleet no longer hears of.
func (f *fleet) orderAs(holder string, fence uint64, one *standInReplica, model string) int {
	body := fmt.Sprintf(`{"operation":%q,"modelId":%q,"leaseHolder":%q,"fenceToken":%d,"expectedCount":%d}`,
		replica.OperationLoad, model, holder, fence, one.count())
	header := map[string]string{replica.HeaderTarget: one.listed.ID}
	return f.call(http.MethodPost, one.listed.Address, "/ferryspar/order", body, header).status
}

func TestGivenALateOrderOfAnotherHolderThenTheReplicaIsNotLoadedBeyondItsRoom(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2100 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				f := settled(t, 1, one)
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.orderAs("daemon-before", 1, one, "other"), http.StatusAccepted)
				time.Sleep(pause)
				got := f.ask(1, "attempt-1", "/patient/", "rare")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, !one.overfull, "%+v", one.told())
			})
		})
	}
}

func TestGivenAReplicaThatChangedUnseenThenItIsAskedAgainAndWhatItHoldsIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := settled(t, 1, one)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.orderAs("daemon-before", 1, one, "other"), http.StatusAccepted)
		time.Sleep(8 * time.Second)
		before := len(one.told())
		assert.Equal(t, f.ask(1, "attempt-1", "/patient/", "other").status, http.StatusOK)
		assert.Equal(t, len(one.told()), before, "it needed no load")
	})
}
