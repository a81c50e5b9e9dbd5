package singleton

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
)

// fakeHost implements the lease, the platform and the only role of a runner.
type fakeHost struct {
	grant  *lease.Grant
	fenced []uint64

	answer func(call discovery.FencedCall) (int, error)
	calls  []discovery.FencedCall
	callAt []time.Time

	resets   int
	due      bool
	prepare  func()
	outcomes []Outcome
}

func (h *fakeHost) Grant() *lease.Grant       { return h.grant }
func (h *fakeHost) ReportFenced(fence uint64) { h.fenced = append(h.fenced, fence) }
func (h *fakeHost) Send(_ context.Context, call discovery.FencedCall) (int, error) {
	h.calls, h.callAt = append(h.calls, call), append(h.callAt, time.Now())
	return h.answer(call)
}
func (*fakeHost) Name() string { return "test" }
func (h *fakeHost) Reset()     { h.resets++ }
func (h *fakeHost) Prepare(context.Context, time.Time) {
	if h.prepare != nil {
		h.prepare()
	}
}
func (h *fakeHost) Next(time.Time) (Call, bool) { return Call{Path: discovery.PathUsage}, h.due }
func (h *fakeHost) HandleOutcome(outcome Outcome, _ time.Time) {
	h.outcomes = append(h.outcomes, outcome)
	h.due = outcome != OutcomeAccepted
}

func (h *fakeHost) grantFor(fence uint64, duration time.Duration) {
	h.grant = &lease.Grant{Record: lease.Record{Fence: fence}, EffectiveFrom: time.Now(), ExpiresAt: time.Now().Add(duration)}
}

func status(code int) func(discovery.FencedCall) (int, error) {
	return func(discovery.FencedCall) (int, error) { return code, nil }
}

// runFor runs the script while a runner is running, and then the runner alone for the given duration.
func runFor(t *testing.T, duration time.Duration, script func(h *fakeHost)) *fakeHost {
	t.Helper()
	h := &fakeHost{due: true, answer: status(http.StatusOK)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := Config{Holder: "core", CallsPerSecond: 10, Lease: h, Platform: h, Clock: time.Now, Roles: []Role{h}}
		ended := make(chan struct{})
		go func() {
			NewRunner(config).Run(ctx)
			close(ended)
		}()
		script(h)
		time.Sleep(duration)
		cancel()
		<-ended
	})
	return h
}

func TestRunner_CallsOnlyWhileTheLeaseLastsLongEnough(t *testing.T) {
	h := runFor(t, time.Second, func(*fakeHost) {})
	assert.Equal(t, len(h.calls), 0, "without a lease")
	h = runFor(t, time.Second, func(h *fakeHost) { h.grantFor(3, callMargin/2) })
	assert.Equal(t, len(h.calls), 0, "with a lease that ends too soon")
	h = runFor(t, time.Second, func(h *fakeHost) { h.grantFor(3, time.Minute) })
	assert.DeepEqual(t, h.calls, []discovery.FencedCall{{Path: discovery.PathUsage, Holder: "core", Fence: 3}})
	h = runFor(t, 3*time.Second, func(h *fakeHost) {
		h.grantFor(3, 1500*time.Millisecond)
		h.prepare = func() { time.Sleep(time.Second) }
	})
	assert.Equal(t, len(h.calls), 0, "the preparation took too long")
}

func TestRunner_MakesNoCallsUnderRejectedFence(t *testing.T) {
	h := runFor(t, 5*time.Second, func(h *fakeHost) {
		h.answer = status(http.StatusConflict)
		h.grantFor(3, time.Minute)
	})
	assert.Equal(t, len(h.calls), 1)
	assert.DeepEqual(t, h.fenced, []uint64{3})
	h = runFor(t, 2*time.Second, func(h *fakeHost) {
		h.answer = status(http.StatusConflict)
		h.grantFor(3, time.Minute)
		time.Sleep(time.Second)
		h.answer = status(http.StatusOK)
		h.grantFor(5, time.Minute)
	})
	assert.Equal(t, h.resets, 2)
	assert.Equal(t, h.calls[len(h.calls)-1].Fence, uint64(5))
	assert.DeepEqual(t, h.outcomes, []Outcome{OutcomeFenced, OutcomeAccepted})
}

func TestRunner_RetriesWithBackoffAndWithinTheRate(t *testing.T) {
	answers := map[string]struct {
		answer func(discovery.FencedCall) (int, error)
		want   Outcome
	}{
		"down":        {status(http.StatusServiceUnavailable), OutcomeUncertain},
		"no answer":   {func(discovery.FencedCall) (int, error) { return 0, errors.New("reset") }, OutcomeUncertain},
		"busy":        {status(http.StatusTooManyRequests), OutcomeThrottled},
		"bad request": {status(http.StatusBadRequest), OutcomeRejected},
	}
	for name, given := range answers {
		t.Run(name, func(t *testing.T) {
			h := runFor(t, 20*time.Second, func(h *fakeHost) {
				h.answer = given.answer
				h.grantFor(3, time.Hour)
			})
			for position, outcome := range h.outcomes {
				assert.Equal(t, outcome, given.want)
				if position > 3 {
					assert.Assert(t, h.callAt[position].Sub(h.callAt[position-1]) >= maxBackoff)
				}
			}
			assert.Assert(t, len(h.calls) > 5)
		})
	}
}
