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

func init() {
	failings["swapped"] = raw(func(_ string) string { return sealed("of-another") })
	failings["nameless"] = raw(func(_ string) string {
		return "HTTP/1.1 408 Late\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	})
	failings["unproved"] = raw(func(attempt string) string {
		return "HTTP/1.1 503 Full\r\n" + replica.HeaderAttempt + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	})
	failings["garbled"] = raw(func(_ string) string { return "no answer\r\n\r\n" })
	failings["doubled"] = raw(func(attempt string) string { return sealed(attempt) + sealed(attempt) })
	failings["endless"] = raw(func(attempt string) string { return sealed(attempt) + "and more that belongs to nothing" })
}

// raw answers with bytes of its own and leaves the connection open for a moment.
func raw(compose func(attempt string) string) func(writer http.ResponseWriter, request *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = fmt.Fprint(connection, compose(request.Header.Get(replica.HeaderAttempt)))
		time.Sleep(time.Second)
	}
}

func sealed(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		replica.HeaderAttempt, attempt, replica.HeaderSeal, attempt, len(attempt), attempt)
}

func TestProxy_InvalidReplicaAnswerBecomes502WithoutRetry(t *testing.T) {
	for _, trouble := range []string{"swapped", "nameless", "unproved", "garbled", "reset"} {
		t.Run(trouble, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				two := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
				f := startSettledFleet(t, 1, standIn, two)
				standIn.setFailing(trouble, 1)
				two.setFailing(trouble, 1)
				got := f.request(1, "attempt-1", "/quick/", "swift")
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get(replica.HeaderSeal), "")
				assert.Equal(t, len(standIn.executed())+len(two.executed()), 1)
			})
		})
	}
}

func TestProxy_SurplusAnswersNeverReachAnotherClient(t *testing.T) {
	for _, trouble := range []string{"doubled", "endless"} {
		t.Run(trouble, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				f := startSettledFleet(t, 1, standIn)
				standIn.setFailing(trouble, 1)
				served := 0
				for number := range 6 {
					attempt := fmt.Sprintf("attempt-%d", number)
					got := f.request(1, attempt, "/quick/", "swift")
					if got.status != http.StatusOK {
						continue
					}
					served++
					assert.Equal(t, got.header.Get(replica.HeaderAttempt), attempt)
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
