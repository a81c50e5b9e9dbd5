package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

func TestProxy_InvalidReplicaAnswerBecomes502WithoutRetry(t *testing.T) {
	for _, failure := range []string{"other-attempt", "no-attempt-id", "503-without-proof", "malformed", "reset"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
				f := startSettledFleet(t, 1, firstReplica, secondReplica)
				firstReplica.setFailureMode(failure, 1)
				secondReplica.setFailureMode(failure, 1)
				got := f.request(1, "attempt-1", "/quick/", "swift")
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get(replica.HeaderSeal), "")
				assert.Equal(t, len(firstReplica.executed())+len(secondReplica.executed()), 1)
			})
		})
	}
}

func TestProxy_SurplusAnswersNeverReachAnotherClient(t *testing.T) {
	for _, failure := range []string{"duplicated", "trailing-bytes"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				f := startSettledFleet(t, 1, standIn)
				standIn.setFailureMode(failure, 1)
				served := 0
				for number := range 6 {
					attempt := fmt.Sprintf("attempt-%d", number)
					got := f.request(1, attempt, "/quick/", "swift")
					if got.status != http.StatusOK {
						continue
					}
					served++
					assert.Equal(t, got.header.Get(replica.HeaderAttemptID), attempt)
					assert.Equal(t, got.body, attempt)
				}
				assert.Assert(t, served > 0, "no request was served")
				seen := map[string]bool{}
				for _, run := range standIn.executed() {
					assert.Assert(t, !seen[run.attempt], "%s ran twice", run.attempt)
					seen[run.attempt] = true
				}
			})
		})
	}
}
