package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

var testPut = coordination.Call{
	Operation: coordination.OperationPut,
	Kind:      coordination.KindGroup,
	Name:      "g.k",
	Value:     "v",
}

// memoryStore keeps the registers of one process in memory, and fails on demand.
type memoryStore struct {
	lock      sync.Mutex
	registers map[string]keystore.Register
	// err is returned by all operations unless it is nil.
	err error
	// latency is the duration of an operation.
	latency time.Duration
	// operations counts the calls of ReadModifyWrite.
	operations atomic.Int64
}

func newMemoryStore() *memoryStore { return &memoryStore{registers: map[string]keystore.Register{}} }

// ReadModifyWrite implements Store.
func (m *memoryStore) ReadModifyWrite(_ context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error) {
	m.operations.Add(1)
	time.Sleep(m.latency)
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.err != nil {
		return keystore.Register{}, m.err
	}
	register := m.registers[name]
	if decided := step(register, keystore.ProposalNumber{}); decided.Value != nil {
		register.Sequence++
		register.Accepted = keystore.ProposalNumber{Round: 1, Proposer: "a"}
		register.Promised = register.Accepted
		register.Value = decided.Value
		m.registers[name] = register
	}
	return register, nil
}

// testCluster implements the Cluster and the Caller of a router. answers holds the other nodes' handlers by address.
type testCluster struct {
	lock     sync.Mutex
	members  []string
	silent   map[string]bool
	leaving  bool
	answers  map[string]func(request peer.CoordinationRequest) (peer.CoordinationReply, error)
	called   []string
	requests []peer.CoordinationRequest
	// lastOwner is returned by LastOwner.
	lastOwner string
}

func (c *testCluster) Members() []string               { return append([]string(nil), c.members...) }
func (c *testCluster) IsReachable(address string) bool { return !c.silent[address] }
func (c *testCluster) MayOwn() bool                    { return !c.leaving }
func (c *testCluster) IsConfirmed() bool               { return true }
func (c *testCluster) LastOwner(string) string         { return c.lastOwner }

// Call implements Caller. A call to a node without a handler fails when its context ends.
func (c *testCluster) Call(ctx context.Context, method peer.Method, address string, message, reply any) error {
	if method == peer.MethodHandOver {
		return c.probe(ctx, address)
	}
	request := message.(peer.CoordinationRequest)
	c.lock.Lock()
	c.called = append(c.called, address)
	c.requests = append(c.requests, request)
	c.lock.Unlock()
	answer := c.answers[address]
	if answer == nil {
		<-ctx.Done()
		return errUnreachable
	}
	answered, err := answer(request)
	*reply.(*peer.CoordinationReply) = answered
	return err
}

func (c *testCluster) setAnswer(address string, answer func(request peer.CoordinationRequest) (peer.CoordinationReply, error)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.answers = answers{address: answer}
}

// probe answers a probe of an avoided node if that node has a handler.
func (c *testCluster) probe(ctx context.Context, address string) error {
	c.lock.Lock()
	answer := c.answers[address]
	c.lock.Unlock()
	if answer == nil {
		<-ctx.Done()
		return errUnreachable
	}
	_, err := answer(peer.CoordinationRequest{})
	return err
}

// calls returns the addresses that were called so far.
func (c *testCluster) calls() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]string(nil), c.called...)
}

// resetCalls clears the list of calls.
func (c *testCluster) resetCalls() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.called = nil
}

func newTestRouter(cluster *testCluster, store Store) *Router {
	executor := NewExecutor(store, coordination.Config{EventRetention: time.Minute}, time.Now)
	return NewRouter("self", cluster, cluster, executor, time.Now)
}

// refused is the handler of a node to which no connection can be established.
func refused(peer.CoordinationRequest) (peer.CoordinationReply, error) {
	return peer.CoordinationReply{}, &net.OpError{Op: "dial", Err: errUnreachable}
}

func decided(peer.CoordinationRequest) (peer.CoordinationReply, error) {
	return peer.CoordinationReply{Status: peer.CoordinationDecided, Result: coordination.Result{Revision: 7}}, nil
}

type answers = map[string]func(request peer.CoordinationRequest) (peer.CoordinationReply, error)

func TestRouter_NextMemberTakesOverFromUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b", "c"}}
		router := newTestRouter(cluster, newMemoryStore())
		first, isPreferred := router.chooseOwner(storeKey(testPut))
		assert.Assert(t, isPreferred)
		second := map[string]string{"b": "c", "c": "b"}[first]
		cluster.answers = answers{second: decided}
		result, err := router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(7))
		assert.DeepEqual(t, cluster.calls(), []string{first, first, second})
		assert.Assert(t, !cluster.requests[1].TakeOver)
		assert.Assert(t, cluster.requests[2].TakeOver, "the second node must not forward it back")
		assert.Equal(t, cluster.requests[0].Call.ID, cluster.requests[2].Call.ID, "both messages carry the same call")
		cluster.resetCalls()
		_, err = router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.DeepEqual(t, cluster.calls(), []string{second})
		cluster.answers[first] = decided
		time.Sleep(avoidDuration)
		cluster.resetCalls()
		_, err = router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.DeepEqual(t, cluster.calls(), []string{first}) // it is called again after avoidDuration
	})
}

func TestRouter_CallThatMayHaveBeenExecutedIsUncertain(t *testing.T) {
	cases := map[string]struct {
		first, second func(request peer.CoordinationRequest) (peer.CoordinationReply, error)
		expected      error
	}{
		"silent, then refused": {nil, refused, ErrUncertain},
		"refused by all":       {refused, refused, ErrNotExecuted},
		"uncertain, then overloaded": {
			func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
				return peer.CoordinationReply{Status: peer.CoordinationUncertain}, nil
			},
			nil,
			ErrUncertain,
		},
		"a status of a later version": {
			func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
				return peer.CoordinationReply{Status: "later"}, nil
			},
			nil,
			ErrUncertain,
		},
		"not executed": {
			func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
				return peer.CoordinationReply{Status: peer.CoordinationNotExecuted}, nil
			},
			refused,
			ErrNotExecuted,
		},
		"overloaded": {
			func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
				return peer.CoordinationReply{Status: peer.CoordinationOverloaded}, nil
			},
			refused,
			ErrOverloaded,
		},
	}
	for name, tried := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := &testCluster{members: []string{"b", "c"}}
				router := newTestRouter(cluster, newMemoryStore())
				first, _ := router.chooseOwner(storeKey(testPut))
				second := map[string]string{"b": "c", "c": "b"}[first]
				cluster.answers = answers{first: tried.first, second: tried.second}
				began := time.Now()
				_, err := router.Do(t.Context(), testPut)
				assert.Assert(t, errors.Is(err, tried.expected), "%v", err)
				assert.Assert(t, time.Since(began) < callerTimeout, "the call returns before the caller's time-out")
				time.Sleep(avoidDuration + probeInterval)
			})
		})
	}
}

func TestRouter_ForwardedCallIsForwardedToReachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b"}, answers: answers{"b": decided}}
		store := newMemoryStore()
		router := newTestRouter(cluster, store)
		reply := router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, Hops: 1})
		assert.Equal(t, reply.Status, peer.CoordinationDecided)
		assert.Equal(t, reply.Result.Revision, uint64(7), "b executed it")
		reply = router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, Hops: maxHops})
		assert.Equal(t, reply.Result.Revision, uint64(1), "executed at this node")
		reply = router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, TakeOver: true})
		assert.Equal(t, reply.Result.Revision, uint64(1), "the same put")
		assert.Equal(t, len(cluster.calls()), 1)
	})
}

func TestRouter_ItemStaysWithItsLastOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b", "c", "d", "self"}}
		router := newTestRouter(cluster, newMemoryStore())
		time.Sleep(startupGracePeriod)
		for _, owner := range []string{"b", "c", "d", "self"} {
			cluster.lastOwner = owner
			found, isPreferred := router.chooseOwner("a.")
			assert.Equal(t, found, owner)
			assert.Assert(t, isPreferred)
		}
		cluster.lastOwner = "b"
		cluster.silent = map[string]bool{"b": true}
		found, isPreferred := router.chooseOwner("a.")
		assert.Assert(t, found != "b" && isPreferred)
		cluster.silent = nil
		router.avoid("b", avoidDuration, errUnreachable)
		found, isPreferred = router.chooseOwner("a.")
		assert.Assert(t, found != "b" && !isPreferred, "the next node must take it over")
		cluster.lastOwner = "gone"
		_, isPreferred = router.chooseOwner("a.")
		assert.Assert(t, isPreferred || found != "gone")
		time.Sleep(avoidDuration + probeInterval)
	})
}

func TestRouter_NodeThatAnswersAgainIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b", "c"}, lastOwner: "b"}
		router := newTestRouter(cluster, newMemoryStore())
		router.avoid("b", avoidDuration, errUnreachable)
		time.Sleep(avoidDuration / 2)
		assert.Assert(t, router.isAvoided("b"), "it does not answer")
		cluster.setAnswer("b", func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
			time.Sleep(2 * probeTimeout)
			return peer.CoordinationReply{}, errUnreachable
		})
		time.Sleep(4 * probeTimeout)
		assert.Assert(t, router.isAvoided("b"), "it answers too slowly")
		cluster.setAnswer("b", func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
			return peer.CoordinationReply{}, nil
		})
		time.Sleep(4 * probeTimeout)
		assert.Assert(t, !router.isAvoided("b"))
	})
}

func TestRouter_LateReplyDoesNotMoveAnItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		cluster := &testCluster{members: []string{"b", "c"}, lastOwner: "b", answers: answers{
			"b": func(request peer.CoordinationRequest) (peer.CoordinationReply, error) {
				if attempts.Add(1) == 1 {
					time.Sleep(time.Minute)
				}
				return decided(request)
			},
		}}
		began := time.Now()
		_, err := newTestRouter(cluster, newMemoryStore()).Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), resendDelay)
		assert.DeepEqual(t, cluster.calls(), []string{"b", "b"})
		time.Sleep(time.Minute)
	})
}

func TestRouter_LeavingNodeOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b", "self"}, leaving: true}
		router := newTestRouter(cluster, newMemoryStore())
		time.Sleep(startupGracePeriod)
		for _, name := range []string{"a.", "b.", "c.", "d.", "e.", "f."} {
			owner, _ := router.chooseOwner(name)
			assert.Equal(t, owner, "b")
		}
		cluster.silent = map[string]bool{"b": true}
		owner, _ := router.chooseOwner("a.")
		assert.Equal(t, owner, "self", "unless no other node is reachable")
	})
}

func TestRouter_ItemsAreSpreadAndMoveOnlyFromLostMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{members: []string{"b", "c", "d", "e", "f"}}
		router := newTestRouter(cluster, newMemoryStore())
		time.Sleep(startupGracePeriod)
		owners, counts := map[string]string{}, map[string]int{}
		for number := range 1000 {
			key := "coordination/lock/l" + string(json.Number(time.Duration(number).String()))
			owners[key], _ = router.chooseOwner(key)
			counts[owners[key]]++
		}
		for member, count := range counts {
			assert.Assert(t, count > 150 && count < 250, "%s owns %d", member, count)
		}
		cluster.silent = map[string]bool{"d": true}
		for key, before := range owners {
			after, _ := router.chooseOwner(key)
			assert.Assert(t, before == after || before == "d", "%s moved from %s", key, before)
		}
	})
}
