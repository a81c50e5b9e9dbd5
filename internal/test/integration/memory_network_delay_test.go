package integration

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	callerHost = operatorHost
	calledHost = "10.200.0.9"
)

// receivedCall is one call that a plain HTTP server received: when it arrived, and whether its context was canceled.
type receivedCall struct {
	at         time.Time
	contextErr error
}

// callThroughPartition writes a request while the path is faulty, closes or resets the connection, and returns the time
// of the heal with the calls that the server received.
func callThroughPartition(t *testing.T, f *fleet, partition func(on bool), reset bool) (time.Time, []receivedCall) {
	calls := make(chan receivedCall, 4)
	f.serve(calledHost, calledHost+":80", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		began := time.Now()
		select {
		case <-request.Context().Done():
		case <-time.After(2 * time.Second):
		}
		calls <- receivedCall{began, request.Context().Err()}
	}))
	t.Cleanup(func() { f.network.resetHost(calledHost) })
	connection, err := f.network.machine(callerHost).DialFunc(time.Second, time.Minute)(context.Background(), "tcp", calledHost+":80")
	assert.NilError(t, err)
	partition(true)
	go func() { _, _ = connection.Write([]byte("POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")) }()
	time.Sleep(time.Second)
	if reset {
		_ = connection.(*memoryConnection).reset()
	} else {
		_ = connection.Close()
	}
	time.Sleep(19 * time.Second)
	partition(false)
	healed := time.Now()
	time.Sleep(5 * time.Second)
	close(calls)
	var all []receivedCall
	for answer := range calls {
		all = append(all, answer)
	}
	return healed, all
}

func TestMemoryNetwork_BufferedBytesArriveUnlessSenderResets(t *testing.T) {
	faults := map[string]func(f *fleet) func(on bool){
		"frozen": func(f *fleet) func(on bool) { return func(on bool) { f.network.freeze(calledHost, on) } },
		"both":   func(f *fleet) func(on bool) { return func(on bool) { f.network.delayBoth(callerHost, calledHost, on) } },
		"oneway": func(f *fleet) func(on bool) { return func(on bool) { f.network.delay(callerHost, calledHost, on) } },
	}
	for name, fault := range faults {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetOf(t, 0, 0, 0)
					healed, all := callThroughPartition(t, f, fault(f), reset)
					if reset {
						assert.Equal(t, len(all), 0)
						return
					}
					assert.Equal(t, len(all), 1)
					assert.Assert(t, !all[0].at.Before(healed), "received while the server was unreachable")
					assert.Equal(t, all[0].contextErr, context.Canceled, "the close arrives after the bytes")
				})
			})
		}
	}
}

func TestMemoryNetwork_ReversePartitionDelaysOnlyTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetOf(t, 0, 0, 0)
		_, all := callThroughPartition(t, f, func(on bool) { f.network.delay(calledHost, callerHost, on) }, false)
		assert.Equal(t, len(all), 1)
		assert.Equal(t, all[0].contextErr, context.Canceled)
	})
}
