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

// testCluster connects a node's forwarder with that of the owner of the key.
type testCluster struct {
	owner       *Forwarder
	forwarder   *Forwarder
	unreachable bool
	silent      bool
	decided     bool
	// ownerTakes is the time that the owner takes for a call, and ownerError is its result.
	ownerTakes     time.Duration
	ownerError     error
	ownerCalls     int
	localCalls     int
	bodiesReceived int
}

func (c *testCluster) ConfigurationOwner() string { return ownerAddress }
func (c *testCluster) IsReachable(string) bool    { return !c.unreachable }
func (c *testCluster) Outcome(Call) (bool, error) { return c.decided, nil }

// Call delivers a forwarded change to the owner. It times out while silent is set.
func (c *testCluster) Call(ctx context.Context, method peer.Method, _ string, message, reply any) error {
	if c.silent {
		time.Sleep(method.Timeout())
		return errSilent
	}
	request := message.(peer.ChangeRequest)
	if len(request.Body) > 0 {
		c.bodiesReceived++
	}
	*reply.(*peer.ChangeReply) = c.owner.HandleChange(ctx, request)
	return nil
}

func newTestCluster() *testCluster {
	cluster := &testCluster{}
	cluster.owner = NewForwarder(cluster, cluster, func(Call) error {
		cluster.ownerCalls++
		time.Sleep(cluster.ownerTakes)
		return cluster.ownerError
	}, time.Now)
	cluster.forwarder = NewForwarder(cluster, cluster, func(Call) error {
		cluster.localCalls++
		return nil
	}, time.Now)
	return cluster
}

var patchCall = Call{Method: http.MethodPatch, Condition: 4, Body: []byte(`{"revision":5}`)}

// change sends the call with the time-out of an operator.
func (c *testCluster) change(call Call) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.forwarder.Change(ctx, call)
}

func TestForwarder_OwnerExecutesTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		assert.NilError(t, cluster.change(patchCall))
		cluster.ownerError = apierror.New(apierror.VersionConflict, "revision 9 is current")
		err := apierror.From(cluster.change(patchCall))
		assert.Equal(t, err.Kind, apierror.VersionConflict)
		assert.Equal(t, err.Detail, "revision 9 is current")
		assert.Equal(t, cluster.ownerCalls, 2)
		assert.Equal(t, cluster.localCalls, 0)
	})
}

func TestForwarder_SlowOwnerIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.ownerTakes = 1500 * time.Millisecond
		assert.Equal(t, apierror.From(cluster.change(patchCall)).Kind, apierror.UncertainWrite, "the operator's time-out")
		assert.NilError(t, cluster.change(patchCall), "the resend joins the call in progress")
		assert.Equal(t, cluster.ownerCalls, 1)
		assert.Equal(t, cluster.localCalls, 0)
		assert.Equal(t, cluster.bodiesReceived, 1, "the body is sent once")
	})
}

func TestForwarder_LearnedCommitAnswersBeforeTheOwnerReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.ownerTakes = 900 * time.Millisecond
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { cluster.decided = true })
		assert.NilError(t, cluster.change(patchCall))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond+outcomeInterval)
		assert.Equal(t, cluster.localCalls, 0)
		time.Sleep(maxPending)
	})
}

func TestForwarder_ExecutesLocallyIfTheOwnerIsUnavailable(t *testing.T) {
	cases := map[string]func(cluster *testCluster){
		"silent":           func(cluster *testCluster) { cluster.silent = true },
		"not heard of":     func(cluster *testCluster) { cluster.unreachable = true },
		"without majority": func(cluster *testCluster) { cluster.ownerError = apierror.New(apierror.NoMajority, "") },
		"uncertain":        func(cluster *testCluster) { cluster.ownerError = apierror.New(apierror.UncertainWrite, "") },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				fail(cluster)
				_ = cluster.change(patchCall)
				time.Sleep(peer.MethodChange.Timeout())
				assert.Equal(t, cluster.localCalls, 1, "executed at this node even if the operator has given up")
				assert.NilError(t, cluster.change(patchCall))
				assert.Equal(t, cluster.localCalls, 2)
			})
		})
	}
}

func TestForwarder_UnresponsiveOwnerIsAvoidedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.silent = true
		_ = cluster.change(patchCall)
		time.Sleep(peer.MethodChange.Timeout())
		began := time.Now()
		assert.NilError(t, cluster.change(patchCall))
		assert.Equal(t, time.Since(began), time.Duration(0), "does not wait for the owner")
		cluster.silent = false
		time.Sleep(avoidDuration)
		assert.NilError(t, cluster.change(patchCall))
		assert.Equal(t, cluster.ownerCalls, 1)
	})
}

func TestForwarder_DecidedCallIsAnsweredWithoutTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.decided = true
		assert.NilError(t, cluster.change(patchCall))
		assert.Equal(t, cluster.ownerCalls+cluster.localCalls, 0)
	})
}

func TestExecutor_ConcurrentEqualCallsAreExecutedOnce(t *testing.T) {
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
		assert.Equal(t, executed, 3, "a call that has completed is executed again")
	})
}
