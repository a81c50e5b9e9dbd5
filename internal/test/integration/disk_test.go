package integration

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// firstRingFile holds the first generation of a member's state.
const firstRingFile = "ring-1"

func TestMember_LostNewestSegmentSuspendsVoteUntilCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		assert.Equal(t, f.put(1, 1, 2, document(2, "")).status, http.StatusOK)
		f.kill(coreHost(1))
		f.kill(coreHost(3))
		f.folders[coreHost(3)].(*memoryDirectory).remove(firstRingFile)
		f.startCore(coreHost(3), true, 1, 2, 3)
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.put(2, 2, 3, document(3, newRoute)).status != http.StatusOK, "a member without its state made a majority")
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(5 * time.Second)
		for core := 1; core <= 3; core++ {
			read := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/config", "", nil)
			assert.Equal(t, read.status, http.StatusOK, "core %d: %s", core, read.body)
			assert.Assert(t, !strings.Contains(read.body, `"revision":1`), "core %d went back", core)
		}
		f.kill(coreHost(1))
		time.Sleep(time.Second)
		got := f.put(2, 2, 3, document(3, newRoute)).status
		assert.Assert(t, got == http.StatusOK || got == http.StatusPreconditionFailed, "having caught up it votes: %d", got)
	})
}
