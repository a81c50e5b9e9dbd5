package integration

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// firstSegmentFile is the first segment of a member's write-ahead log.
const firstSegmentFile = "ring-1"

func TestMember_LostNewestSegmentSuspendsVoteUntilCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		assert.Equal(t, f.putConfiguration(1, 1, document(2, "")).status, http.StatusOK)
		f.kill(coreHost(1))
		f.kill(coreHost(3))
		f.directories[coreHost(3)].(*memoryDirectory).remove(firstSegmentFile)
		f.startCore(coreHost(3), true, 1, 2, 3)
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.putConfiguration(2, 2, document(3, newRoute)).status != http.StatusOK, "a member without its state voted")
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(5 * time.Second)
		for core := 1; core <= 3; core++ {
			read := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/config", "", nil)
			assert.Equal(t, read.status, http.StatusOK, "core %d: %s", core, read.body)
			assert.Assert(t, !strings.Contains(read.body, `"revision":1`), "core %d has an older revision", core)
		}
		f.kill(coreHost(1))
		time.Sleep(time.Second)
		got := f.putConfiguration(2, 2, document(3, newRoute)).status
		assert.Assert(t, got == http.StatusOK || got == http.StatusPreconditionFailed, "a member that has caught up votes: %d", got)
	})
}
