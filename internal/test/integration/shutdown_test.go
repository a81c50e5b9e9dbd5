package integration

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// askSlowly opens a connection, sends the last byte of a request at the given time, and returns the status and whether the
// response was complete; 0 stands for none.
func (f *fleet) askSlowly(attempt string, lastByteAt time.Time) (status int, complete bool) {
	connection, err := f.network.machine("10.9.9.9").DialFunc(time.Second, time.Minute)(f.t.Context(), "tcp", edgeHost(1)+":8161")
	if err != nil {
		return 0, false
	}
	defer connection.Close()
	const form = "POST /quick/ HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: swift\r\n%s: 100,20\r\nContent-Length: 6\r\n\r\npromp"
	fmt.Fprintf(connection, form, replica.HeaderAttemptID, attempt, replica.HeaderModel, replica.HeaderTokenCount)
	time.Sleep(time.Until(lastByteAt))
	_, _ = io.WriteString(connection, "t")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// Guards against a data plane that passes on a request late in its grace period and then cuts the response (LOST).
func TestServing_ShutdownRejectsRequestsThatWouldBeCutShort(t *testing.T) {
	const streamTime = 2 * time.Second
	for _, test := range []struct {
		lastByteAfter time.Duration
		want          int
	}{
		{time.Second, http.StatusOK},
		{4 * time.Second, http.StatusOK},
		{6 * time.Second, http.StatusServiceUnavailable},
		{7 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(test.lastByteAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				standIn.events = int(streamTime / (20 * time.Millisecond))
				f := startSettledFleet(t, 1, standIn)
				for number := range 6 {
					assert.Equal(t, f.request(1, fmt.Sprintf("before-%d", number), "/quick/", "swift").status, http.StatusOK)
				}
				executedBefore := len(standIn.executed())
				stoppedAt := time.Now()
				f.nodes[edgeHost(1)].stop <- syscall.SIGTERM
				time.Sleep(500 * time.Millisecond)
				status, complete := f.askSlowly("late", stoppedAt.Add(test.lastByteAfter))
				assert.Equal(t, status, test.want)
				assert.Assert(t, complete)
				executed := len(standIn.executed()) - executedBefore
				assert.Equal(t, executed == 1, test.want == http.StatusOK, "%d runs", executed)
			})
		})
	}
}

// Guards against a guess in place of an estimate: a data plane that has completed no response of a route knows nothing of how long
// the next one takes.
func TestServing_ShutdownRejectsRequestsOfUnknownDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		assert.Equal(t, f.request(1, "before", "/patient/", "swift").status, http.StatusOK)
		stoppedAt := time.Now()
		f.nodes[edgeHost(1)].stop <- syscall.SIGTERM
		time.Sleep(500 * time.Millisecond)
		status, complete := f.askSlowly("late", stoppedAt.Add(4*time.Second))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, complete)
		assert.Equal(t, len(standIn.executed()), 1)
	})
}
