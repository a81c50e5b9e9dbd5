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

// world is the lease, the platform and the only role of a runner.
type world struct {
	grant  *lease.Grant
	fenced []uint64

	answer func(call discovery.RoleCall) (int, error)
	calls  []discovery.RoleCall
	callAt []time.Time

	resets   int
	due      bool
	prepare  func()
	outcomes []Outcome
}

func (w *world) Grant() *lease.Grant       { return w.grant }
func (w *world) ReportFenced(fence uint64) { w.fenced = append(w.fenced, fence) }
func (w *world) Send(_ context.Context, call discovery.RoleCall) (int, error) {
	w.calls, w.callAt = append(w.calls, call), append(w.callAt, time.Now())
	return w.answer(call)
}
func (*world) Name() string { return "test" }
func (w *world) Reset()     { w.resets++ }
func (w *world) Prepare(context.Context, time.Time) {
	if w.prepare != nil {
		w.prepare()
	}
}
func (w *world) Next(time.Time) (Call, bool) { return Call{Path: discovery.PathUsage}, w.due }
func (w *world) HandleOutcome(outcome Outcome, _ time.Time) {
	w.outcomes = append(w.outcomes, outcome)
	w.due = outcome != OutcomeAccepted
}

func (w *world) grantFor(fence uint64, duration time.Duration) {
	w.grant = &lease.Grant{Record: lease.Record{Fence: fence}, EffectiveFrom: time.Now(), ExpiresAt: time.Now().Add(duration)}
}

func status(code int) func(discovery.RoleCall) (int, error) {
	return func(discovery.RoleCall) (int, error) { return code, nil }
}

// play runs a runner for some time, in which the scene may change the world.
func play(t *testing.T, duration time.Duration, scene func(w *world)) *world {
	t.Helper()
	w := &world{due: true, answer: status(http.StatusOK)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := Config{Holder: "core", CallsPerSecond: 10, Lease: w, Platform: w, Clock: time.Now, Roles: []Role{w}}
		ended := make(chan struct{})
		go func() {
			NewRunner(config).Run(ctx)
			close(ended)
		}()
		scene(w)
		time.Sleep(duration)
		cancel()
		<-ended
	})
	return w
}

func TestRunner_CallsOnlyWhileTheLeaseLastsLongEnough(t *testing.T) {
	w := play(t, time.Second, func(*world) {})
	assert.Equal(t, len(w.calls), 0, "without a lease")
	w = play(t, time.Second, func(w *world) { w.grantFor(3, callMargin/2) })
	assert.Equal(t, len(w.calls), 0, "it ends too soon")
	w = play(t, time.Second, func(w *world) { w.grantFor(3, time.Minute) })
	assert.DeepEqual(t, w.calls, []discovery.RoleCall{{Path: discovery.PathUsage, Holder: "core", Fence: 3}})
	w = play(t, 3*time.Second, func(w *world) {
		w.grantFor(3, 1500*time.Millisecond)
		w.prepare = func() { time.Sleep(time.Second) }
	})
	assert.Equal(t, len(w.calls), 0, "the preparation took too long")
}

func TestRunner_SaysNothingMoreUnderAFenceThatWasRefused(t *testing.T) {
	w := play(t, 5*time.Second, func(w *world) {
		w.answer = status(http.StatusConflict)
		w.grantFor(3, time.Minute)
	})
	assert.Equal(t, len(w.calls), 1)
	assert.DeepEqual(t, w.fenced, []uint64{3})
	w = play(t, 2*time.Second, func(w *world) {
		w.answer = status(http.StatusConflict)
		w.grantFor(3, time.Minute)
		time.Sleep(time.Second)
		w.answer = status(http.StatusOK)
		w.grantFor(5, time.Minute)
	})
	assert.Equal(t, w.resets, 2)
	assert.Equal(t, w.calls[len(w.calls)-1].Fence, uint64(5))
	assert.DeepEqual(t, w.outcomes, []Outcome{OutcomeFenced, OutcomeAccepted})
}

func TestRunner_RepeatsWithBackoffAndWithinTheRate(t *testing.T) {
	answers := map[string]struct {
		answer func(discovery.RoleCall) (int, error)
		want   Outcome
	}{
		"down":      {status(http.StatusServiceUnavailable), OutcomeUncertain},
		"no answer": {func(discovery.RoleCall) (int, error) { return 0, errors.New("reset") }, OutcomeUncertain},
		"busy":      {status(http.StatusTooManyRequests), OutcomeThrottled},
		"no good":   {status(http.StatusBadRequest), OutcomeRejected},
	}
	for name, given := range answers {
		t.Run(name, func(t *testing.T) {
			w := play(t, 20*time.Second, func(w *world) {
				w.answer = given.answer
				w.grantFor(3, time.Hour)
			})
			for position, outcome := range w.outcomes {
				assert.Equal(t, outcome, given.want)
				if position > 3 {
					assert.Assert(t, w.callAt[position].Sub(w.callAt[position-1]) >= maxBackoff)
				}
			}
			assert.Assert(t, len(w.calls) > 5)
		})
	}
}
