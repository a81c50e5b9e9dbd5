package integration

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
)

func TestRevocation_PartitionedDataPlaneAnswersUnknownKeyWithRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenantFleet(t, false, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.partitionEdge(2, true)
		assert.Equal(t, f.patchKeys(1, newKey).status, http.StatusOK)
		acknowledged := time.Now()
		for time.Since(acknowledged) < 15*time.Second {
			got := f.requestWithKey(2, newKey, "/quick/", "swift")
			if time.Since(acknowledged) > applyTimeout+time.Second {
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
			kept := f.requestWithKey(2, oldKey, "/quick/", "swift")
			assert.Equal(t, kept.status, http.StatusOK, "%s %s after", kept.body, time.Since(acknowledged))
			assert.Equal(t, f.requestWithKey(2, otherKey, "/quick/", "swift").status, http.StatusOK)
			time.Sleep(probeInterval)
		}
		f.partitionEdge(2, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.requestWithKey(2, newKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(2, oldKey, "/quick/", "swift").status, http.StatusUnauthorized)
	})
}

func TestRevocation_FailClosedStopsServingAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenantFleet(t, true, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.partitionEdge(2, true)
		assert.Equal(t, f.patchKeys(1, newKey).status, http.StatusOK)
		acknowledged := time.Now()
		served := 0
		for time.Since(acknowledged) < 15*time.Second {
			late := time.Since(acknowledged) > revokeTimeout
			got := f.requestWithKey(2, oldKey, "/quick/", "swift")
			if got.status == http.StatusOK {
				served++
			}
			assert.Assert(t, !late || got.status == http.StatusServiceUnavailable, "%d %s after", got.status, time.Since(acknowledged))
			assert.Equal(t, f.requestWithKey(2, "", "/open/", "swift").status, http.StatusOK, "public routes are still served")
			assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusOK, "the other data plane is in contact")
			time.Sleep(probeInterval)
		}
		assert.Assert(t, served > 5, "it stops serving too early, served %d", served)
		f.partitionEdge(2, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.requestWithKey(2, newKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(2, oldKey, "/quick/", "swift").status, http.StatusUnauthorized)
	})
}

func TestRevocation_FailClosedNotRenewedByMinority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenantFleet(t, true, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		for number := 2; number <= 3; number++ {
			f.network.partition(edgeHost(1), coreHost(number), true)
			f.network.partition(coreHost(1), coreHost(number), true)
		}
		time.Sleep(revokeTimeout)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusServiceUnavailable)
	})
}

func TestRevocation_FailClosedServesWithoutFaults(t *testing.T) {
	for _, bound := range []time.Duration{revokeTimeout, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := startTenantFleet(t, true, 0, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
			adjust := f.adjustSettings
			f.adjustSettings = func(settings *nodesettings.Settings) {
				adjust(settings)
				settings.TimingBounds.RevokeMs = float64(bound.Milliseconds())
			}
			f.startEdge(edgeHost(1))
			time.Sleep(2 * time.Second)
			for range 150 {
				assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
				assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusUnauthorized)
				time.Sleep(probeInterval / 2)
			}
		})
	}
}
