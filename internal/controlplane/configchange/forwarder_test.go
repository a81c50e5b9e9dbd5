package configchange

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/peer"
)

const ownerAddress = "10.0.0.1:7000"

var errSilent = errors.New("no answer")

// testFleet is a forwarder's node and the owner of the key, with a link between them.
type testFleet struct {
	owner       *Forwarder
	forwarder   *Forwarder
	unreachable bool
	silent      bool
	decided     bool
	// ownerTakes is how long the owner needs for a call, ownerError what it decides.
	ownerTakes  time.Duration
	ownerError  error
	ownerCalls  int
	localCalls  int
	bodiesTaken int
}

func (f *testFleet) ConfigurationOwner() string { return ownerAddress }
func (f *testFleet) IsReachable(string) bool    { return !f.unreachable }
func (f *testFleet) Outcome(Call) (bool, error) { return f.decided, nil }

// Call carries a forwarded change to the owner, and stays without an answer while the link is silent.
func (f *testFleet) Call(ctx context.Context, method peer.Method, _ string, message, reply any) error {
	if f.silent {
		time.Sleep(method.Timeout())
		return errSilent
	}
	request := message.(peer.ChangeRequest)
	if len(request.Body) > 0 {
		f.bodiesTaken++
	}
	*reply.(*peer.ChangeReply) = f.owner.HandleChange(ctx, request)
	return nil
}

func newTestFleet() *testFleet {
	fleet := &testFleet{}
	fleet.owner = NewForwarder(fleet, fleet, func(Call) error {
		fleet.ownerCalls++
		time.Sleep(fleet.ownerTakes)
		return fleet.ownerError
	}, time.Now)
	fleet.forwarder = NewForwarder(fleet, fleet, func(Call) error {
		fleet.localCalls++
		return nil
	}, time.Now)
	return fleet
}

var patchCall = Call{Method: http.MethodPatch, Condition: 4, Body: []byte(`{"revision":5}`)}

// change sends the call with an operator's patience.
func (f *testFleet) change(call Call) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return f.forwarder.Change(ctx, call)
}

func TestForwarder_OwnerCarriesOutTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet()
		assert.NilError(t, fleet.change(patchCall))
		fleet.ownerError = apierror.New(apierror.VersionConflict, "revision 9 is current")
		err := apierror.From(fleet.change(patchCall))
		assert.Equal(t, err.Kind, apierror.VersionConflict)
		assert.Equal(t, err.Detail, "revision 9 is current")
		assert.Equal(t, fleet.ownerCalls, 2)
		assert.Equal(t, fleet.localCalls, 0)
	})
}

func TestForwarder_SlowOwnerIsLeftAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet()
		fleet.ownerTakes = 1500 * time.Millisecond
		assert.Equal(t, apierror.From(fleet.change(patchCall)).Kind, apierror.UncertainWrite, "the operator's patience ends")
		assert.NilError(t, fleet.change(patchCall), "the resend joins the call under way")
		assert.Equal(t, fleet.ownerCalls, 1)
		assert.Equal(t, fleet.localCalls, 0)
		assert.Equal(t, fleet.bodiesTaken, 1, "the body is sent once")
	})
}

func TestForwarder_AnswersByWhatIsLearnedBeforeTheOwnerReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet()
		fleet.ownerTakes = 900 * time.Millisecond
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { fleet.decided = true })
		assert.NilError(t, fleet.change(patchCall))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond+outcomeInterval)
		assert.Equal(t, fleet.localCalls, 0)
		time.Sleep(maxPending)
	})
}

func TestForwarder_TakesOverFromOwnerThatCannotBeReached(t *testing.T) {
	cases := map[string]func(fleet *testFleet){
		"silent":           func(fleet *testFleet) { fleet.silent = true },
		"not heard of":     func(fleet *testFleet) { fleet.unreachable = true },
		"without majority": func(fleet *testFleet) { fleet.ownerError = apierror.New(apierror.NoMajority, "") },
		"uncertain":        func(fleet *testFleet) { fleet.ownerError = apierror.New(apierror.UncertainWrite, "") },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet()
				fail(fleet)
				_ = fleet.change(patchCall)
				time.Sleep(peer.MethodChange.Timeout())
				assert.Equal(t, fleet.localCalls, 1, "carried out here, though the operator may have gone")
				assert.NilError(t, fleet.change(patchCall))
				assert.Equal(t, fleet.localCalls, 2)
			})
		})
	}
}

func TestForwarder_SilentOwnerIsAvoidedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet()
		fleet.silent = true
		_ = fleet.change(patchCall)
		time.Sleep(peer.MethodChange.Timeout())
		began := time.Now()
		assert.NilError(t, fleet.change(patchCall))
		assert.Equal(t, time.Since(began), time.Duration(0), "no wait for the owner")
		fleet.silent = false
		time.Sleep(avoidFor)
		assert.NilError(t, fleet.change(patchCall))
		assert.Equal(t, fleet.ownerCalls, 1)
	})
}

func TestForwarder_DecidedCallIsAnsweredWithoutTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet()
		fleet.decided = true
		assert.NilError(t, fleet.change(patchCall))
		assert.Equal(t, fleet.ownerCalls+fleet.localCalls, 0)
	})
}

func TestExecutor_EqualCallsAreCarriedOutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executed := 0
		executor := NewExecutor(func(Call) error {
			executed++
			time.Sleep(time.Second)
			return nil
		})
		other := patchCall
		other.Condition++
		for _, call := range []Call{patchCall, patchCall, other, patchCall} {
			go func() { assert.Check(t, executor.Do(t.Context(), call)) }()
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, executed, 2)
		assert.NilError(t, executor.Do(t.Context(), patchCall))
		assert.Equal(t, executed, 3, "a call that has ended is carried out again")
	})
}
