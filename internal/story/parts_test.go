package story

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestGivenEdgesAtDifferentMembersWhenARareModelIsAskedForThenEachServesItOnceItIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := settled(t, 3, one, two)
		for round := range 2 {
			for edge := 1; edge <= 3; edge++ {
				answer := f.ask(edge, fmt.Sprintf("attempt-%d-%d", round, edge), "/patient/", "rare")
				assert.Equal(t, answer.status, http.StatusOK)
				assert.Assert(t, answer.took < 4*time.Second, "round %d edge %d took %s", round, edge, answer.took)
			}
		}
	})
}
