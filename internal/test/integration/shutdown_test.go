package integration

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// lateAnswer is the response to a request whose last byte was sent while a data plane was shutting down.
type lateAnswer struct {
	// status is 0 if there was no response.
	status int
	// notExecuted is set if the response says that no replica has executed the request.
	notExecuted bool
	complete    bool
	body        string
	// endedAt is when the response or the connection ended.
	endedAt time.Time
}

// askSlowly opens a connection, sends a request with the header lines, its last byte at the given time, and returns the answer.
func (f *fleet) askSlowly(attempt string, lastByteAt time.Time, lines ...string) (answer lateAnswer) {
	defer func() { answer.endedAt = time.Now() }()
	connection, err := f.network.machine("10.9.9.9").DialFunc(time.Second, time.Minute)(f.t.Context(), "tcp", edgeHost(1)+":8161")
	if err != nil {
		return answer
	}
	defer connection.Close()
	const form = "POST /quick/ HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: swift\r\n%s: 100,20\r\n%sContent-Length: 6\r\n\r\npromp"
	fmt.Fprintf(connection, form, replica.HeaderAttemptID, attempt, replica.HeaderModel, replica.HeaderTokenCount, strings.Join(lines, ""))
	time.Sleep(time.Until(lastByteAt))
	_, _ = io.WriteString(connection, "t")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return lateAnswer{
		body:        string(body),
		status:      response.StatusCode,
		notExecuted: response.Header.Get(replica.HeaderNotExecuted) != "",
		complete:    err == nil,
	}
}

// Guards against a data plane that passes on a request late in its grace period and then cuts the response (LOST).
func TestServing_ShutdownRejectsRequestsThatWouldBeCutShort(t *testing.T) {
	const streamTime = 2 * time.Second
	for _, test := range []struct {
		lastByteAfter time.Duration
		want          int
	}{
		{time.Second, http.StatusOK},
		{4 * time.Second, http.StatusServiceUnavailable},
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
				late := f.askSlowly("late", stoppedAt.Add(test.lastByteAfter))
				assert.Equal(t, late.status, test.want)
				assert.Assert(t, late.complete)
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
		late := f.askSlowly("late", stoppedAt.Add(4*time.Second))
		assert.Equal(t, late.status, http.StatusServiceUnavailable)
		assert.Assert(t, late.complete)
		assert.Equal(t, len(standIn.executed()), 1)
	})
}

// answerShape is how many events the streams of a replica have, and the time between them.
type answerShape struct {
	events   int
	interval time.Duration
}

// graceTime, and the parts of it that LOST names: responses to requests sent until excusedSend after the SIGTERM may be cut from
// excusedCut on.
const (
	graceTime   = 8 * time.Second
	excusedSend = 3 * time.Second
	excusedCut  = graceTime * 5 / 6
)

// assertNotLost fails the test if the request was executed and its response cut, unless LOST excuses it, or if it was rejected
// without the promise that it was not executed.
func assertNotLost(t *testing.T, answer lateAnswer, executed bool, stoppedAt, lastByteAt time.Time) {
	t.Helper()
	switch {
	case answer.status == http.StatusServiceUnavailable:
		assert.Assert(t, answer.complete && answer.notExecuted && !executed, "%+v, executed %v", answer, executed)
	case !answer.complete:
		isExcused := lastByteAt.Sub(stoppedAt) <= excusedSend && answer.endedAt.Sub(stoppedAt) >= excusedCut
		assert.Assert(t, isExcused || !executed, "lost: sent %s after the SIGTERM, cut %s after it", lastByteAt.Sub(stoppedAt),
			answer.endedAt.Sub(stoppedAt))
	default:
		assert.Equal(t, answer.status, http.StatusOK)
	}
}

// Guards against a data plane that, while it shuts down, sends a request since responses to equal requests used to be short, and then
// cuts the response (LOST): all requests state the same numbers of tokens.
func TestServing_ShutdownLosesNothingWhenResponsesChange(t *testing.T) {
	short, medium, long := answerShape{2, usualEventInterval}, answerShape{60, usualEventInterval}, answerShape{300, usualEventInterval}
	const slowInterval = 8 * usualEventInterval
	slow := answerShape{60, slowInterval}
	for name, test := range map[string]struct{ before, after, otherReplica answerShape }{
		"longer responses":                 {before: short, after: long},
		"slower events":                    {before: medium, after: slow},
		"slower and longer":                {before: answerShape{1, usualEventInterval}, after: answerShape{100, slowInterval}},
		"faster events":                    {before: slow, after: medium},
		"shorter responses":                {before: long, after: short},
		"one replica is slower":            {before: medium, after: medium, otherReplica: slow},
		"one replica has longer responses": {before: short, after: short, otherReplica: long},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := []*standInReplica{newStandInReplica("i-1", "10.1.2.1", "north", "swift")}
				if test.otherReplica.events > 0 {
					replicas = append(replicas, newStandInReplica("i-2", "10.1.2.2", "north", "swift"))
				}
				f := startSettledFleet(t, 1, replicas...)
				for _, standIn := range replicas {
					standIn.setAnswers(test.before.events, test.before.interval)
				}
				for number := range 20 {
					assert.Equal(t, f.request(1, fmt.Sprintf("before-%d", number), "/quick/", "swift").status, http.StatusOK)
				}
				stoppedAt := time.Now()
				f.nodes[edgeHost(1)].stop <- syscall.SIGTERM
				replicas[0].setAnswers(test.after.events, test.after.interval)
				if len(replicas) > 1 {
					replicas[1].setAnswers(test.otherReplica.events, test.otherReplica.interval)
				}
				f.assertLateRequestsNotLost(replicas, stoppedAt)
			})
		})
	}
}

// assertLateRequestsNotLost sends requests whose last bytes follow at several times after a SIGTERM and judges their answers.
func (f *fleet) assertLateRequestsNotLost(replicas []*standInReplica, stoppedAt time.Time) {
	f.t.Helper()
	afterSignal := []time.Duration{600, 1500, 2500, 2900, 3100, 3500, 4500, 5500, 6500, 7500}
	answers := make([]lateAnswer, len(afterSignal))
	var asking sync.WaitGroup
	for number, after := range afterSignal {
		lastByteAt := stoppedAt.Add(after * time.Millisecond)
		asking.Go(func() { answers[number] = f.askSlowly(fmt.Sprintf("late-%d", number), lastByteAt) })
	}
	asking.Wait()
	executed := map[string]bool{}
	for _, standIn := range replicas {
		for _, run := range standIn.executed() {
			executed[run.attempt] = true
		}
	}
	for number, after := range afterSignal {
		attempt := fmt.Sprintf("late-%d", number)
		assertNotLost(f.t, answers[number], executed[attempt], stoppedAt, stoppedAt.Add(after*time.Millisecond))
	}
}

// Guards against rejecting everything late in a shutdown: a request whose own deadline ends it in time is served.
func TestServing_ShutdownServesLateRequestsWithEarlyDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		assert.Equal(t, f.request(1, "before", "/quick/", "swift").status, http.StatusOK)
		stoppedAt := time.Now()
		f.nodes[edgeHost(1)].stop <- syscall.SIGTERM
		late := f.askSlowly("late", stoppedAt.Add(5*time.Second), replica.HeaderTimeRemaining+": 7000\r\n")
		assert.Equal(t, late.status, http.StatusOK, late.body)
		assert.Assert(t, late.complete)
	})
}
