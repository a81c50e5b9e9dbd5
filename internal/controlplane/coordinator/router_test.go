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

// memoryStore keeps registers of one process, and fails as told.
type memoryStore struct {
	lock      sync.Mutex
	registers map[string]keystore.Register
	// err is returned in place of an outcome.
	err error
	// takes is how long an operation lasts.
	takes time.Duration
	// operations counts the calls of ReadModifyWrite.
	operations atomic.Int64
}

func newMemoryStore() *memoryStore { return &memoryStore{registers: map[string]keystore.Register{}} }

// ReadModifyWrite implements Store.
func (m *memoryStore) ReadModifyWrite(_ context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error) {
	m.operations.Add(1)
	time.Sleep(m.takes)
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

// testFleet is a router's node among others, whose answers are given by address.
type testFleet struct {
	lock     sync.Mutex
	members  []string
	silent   map[string]bool
	leaving  bool
	answers  map[string]func(request peer.CoordinationRequest) (peer.CoordinationReply, error)
	called   []string
	requests []peer.CoordinationRequest
	// lastOwner is the answer to LastOwner.
	lastOwner string
}

func (f *testFleet) Members() []string               { return append([]string(nil), f.members...) }
func (f *testFleet) IsReachable(address string) bool { return !f.silent[address] }
func (f *testFleet) MayOwn() bool                    { return !f.leaving }
func (f *testFleet) IsConfirmed() bool               { return true }
func (f *testFleet) LastOwner(string) string         { return f.lastOwner }

// Call implements Caller. A node without an answer keeps its caller waiting.
func (f *testFleet) Call(ctx context.Context, method peer.Method, address string, message, reply any) error {
	if method == peer.MethodHandOver {
		return f.probe(ctx, address)
	}
	request := message.(peer.CoordinationRequest)
	f.lock.Lock()
	f.called = append(f.called, address)
	f.requests = append(f.requests, request)
	f.lock.Unlock()
	answer := f.answers[address]
	if answer == nil {
		<-ctx.Done()
		return errUnreachable
	}
	answered, err := answer(request)
	*reply.(*peer.CoordinationReply) = answered
	return err
}

func (f *testFleet) setAnswer(address string, answer func(request peer.CoordinationRequest) (peer.CoordinationReply, error)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.answers = answers{address: answer}
}

// probe answers a probe of a node that is avoided, if that node answers calls.
func (f *testFleet) probe(ctx context.Context, address string) error {
	f.lock.Lock()
	answer := f.answers[address]
	f.lock.Unlock()
	if answer == nil {
		<-ctx.Done()
		return errUnreachable
	}
	_, err := answer(peer.CoordinationRequest{})
	return err
}

// calls returns the addresses that were called so far.
func (f *testFleet) calls() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]string(nil), f.called...)
}

// forget begins the list of calls anew.
func (f *testFleet) forget() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.called = nil
}

func newTestRouter(fleet *testFleet, store Store) *Router {
	executor := NewExecutor(store, coordination.Config{EventRetention: time.Minute}, time.Now)
	return NewRouter("self", fleet, fleet, executor, time.Now)
}

// refused is the error of a connection that was not established.
func refused(peer.CoordinationRequest) (peer.CoordinationReply, error) {
	return peer.CoordinationReply{}, &net.OpError{Op: "dial", Err: errUnreachable}
}

func decided(peer.CoordinationRequest) (peer.CoordinationReply, error) {
	return peer.CoordinationReply{Status: peer.CoordinationDecided, Result: coordination.Result{Revision: 7}}, nil
}

type answers = map[string]func(request peer.CoordinationRequest) (peer.CoordinationReply, error)

func TestRouter_NextMemberTakesOverFromSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b", "c"}}
		router := newTestRouter(fleet, newMemoryStore())
		first, isFirst := router.owner(storeKey(testPut))
		assert.Assert(t, isFirst)
		second := map[string]string{"b": "c", "c": "b"}[first]
		fleet.answers = answers{second: decided}
		result, err := router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(7))
		assert.DeepEqual(t, fleet.calls(), []string{first, first, second})
		assert.Assert(t, !fleet.requests[1].TakeOver)
		assert.Assert(t, fleet.requests[2].TakeOver, "the second must not pass it back")
		assert.Equal(t, fleet.requests[0].Call.ID, fleet.requests[2].Call.ID, "it is one call")
		fleet.forget()
		_, err = router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.DeepEqual(t, fleet.calls(), []string{second})
		fleet.answers[first] = decided
		time.Sleep(avoidFor)
		fleet.forget()
		_, err = router.Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.DeepEqual(t, fleet.calls(), []string{first}) // it is asked again after a while
	})
}

func TestRouter_CallThatMayHaveBeenCarriedOutIsUncertain(t *testing.T) {
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
				fleet := &testFleet{members: []string{"b", "c"}}
				router := newTestRouter(fleet, newMemoryStore())
				first, _ := router.owner(storeKey(testPut))
				second := map[string]string{"b": "c", "c": "b"}[first]
				fleet.answers = answers{first: tried.first, second: tried.second}
				began := time.Now()
				_, err := router.Do(t.Context(), testPut)
				assert.Assert(t, errors.Is(err, tried.expected), "%v", err)
				assert.Assert(t, time.Since(began) < patience, "an application waits no longer")
				time.Sleep(avoidFor + probeInterval)
			})
		})
	}
}

func TestRouter_PassesOnToTheOwnerThatItReaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b"}, answers: answers{"b": decided}}
		store := newMemoryStore()
		router := newTestRouter(fleet, store)
		reply := router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, Hops: 1})
		assert.Equal(t, reply.Status, peer.CoordinationDecided)
		assert.Equal(t, reply.Result.Revision, uint64(7), "b carried it out")
		reply = router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, Hops: maxHops})
		assert.Equal(t, reply.Result.Revision, uint64(1), "carried out here")
		reply = router.HandleForwarded(t.Context(), peer.CoordinationRequest{Call: testPut, TakeOver: true})
		assert.Equal(t, reply.Result.Revision, uint64(1), "the same put")
		assert.Equal(t, len(fleet.calls()), 1)
	})
}

func TestRouter_ItemStaysWithItsLastOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b", "c", "d", "self"}}
		router := newTestRouter(fleet, newMemoryStore())
		time.Sleep(learningPeriod)
		for _, owner := range []string{"b", "c", "d", "self"} {
			fleet.lastOwner = owner
			found, isFirst := router.owner("a.")
			assert.Equal(t, found, owner)
			assert.Assert(t, isFirst)
		}
		fleet.lastOwner = "b"
		fleet.silent = map[string]bool{"b": true}
		found, isFirst := router.owner("a.")
		assert.Assert(t, found != "b" && isFirst)
		fleet.silent = nil
		router.avoid("b", avoidFor, errUnreachable)
		found, isFirst = router.owner("a.")
		assert.Assert(t, found != "b" && !isFirst, "the next one must take it over")
		fleet.lastOwner = "gone"
		_, isFirst = router.owner("a.")
		assert.Assert(t, isFirst || found != "gone")
		time.Sleep(avoidFor + probeInterval)
	})
}

func TestRouter_NodeThatAnswersAgainIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b", "c"}, lastOwner: "b"}
		router := newTestRouter(fleet, newMemoryStore())
		router.avoid("b", avoidFor, errUnreachable)
		time.Sleep(avoidFor / 2)
		assert.Assert(t, router.isAvoided("b"), "it answers nothing")
		fleet.setAnswer("b", func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
			time.Sleep(2 * probeTimeout)
			return peer.CoordinationReply{}, errUnreachable
		})
		time.Sleep(4 * probeTimeout)
		assert.Assert(t, router.isAvoided("b"), "it answers too slowly")
		fleet.setAnswer("b", func(peer.CoordinationRequest) (peer.CoordinationReply, error) {
			return peer.CoordinationReply{}, nil
		})
		time.Sleep(4 * probeTimeout)
		assert.Assert(t, !router.isAvoided("b"))
	})
}

func TestRouter_LateReplyDoesNotMoveAnItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		fleet := &testFleet{members: []string{"b", "c"}, lastOwner: "b", answers: answers{
			"b": func(request peer.CoordinationRequest) (peer.CoordinationReply, error) {
				if attempts.Add(1) == 1 {
					time.Sleep(time.Minute)
				}
				return decided(request)
			},
		}}
		began := time.Now()
		_, err := newTestRouter(fleet, newMemoryStore()).Do(t.Context(), testPut)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), resendAfter)
		assert.DeepEqual(t, fleet.calls(), []string{"b", "b"})
		time.Sleep(time.Minute)
	})
}

func TestRouter_LeavingNodeOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b", "self"}, leaving: true}
		router := newTestRouter(fleet, newMemoryStore())
		time.Sleep(learningPeriod)
		for _, name := range []string{"a.", "b.", "c.", "d.", "e.", "f."} {
			owner, _ := router.owner(name)
			assert.Equal(t, owner, "b")
		}
		fleet.silent = map[string]bool{"b": true}
		owner, _ := router.owner("a.")
		assert.Equal(t, owner, "self", "unless nobody else is there")
	})
}

func TestRouter_ItemsAreSpreadAndStayWhereTheyAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{members: []string{"b", "c", "d", "e", "f"}}
		router := newTestRouter(fleet, newMemoryStore())
		time.Sleep(learningPeriod)
		owners, counts := map[string]string{}, map[string]int{}
		for number := range 1000 {
			key := "coordination/lock/l" + string(json.Number(time.Duration(number).String()))
			owners[key], _ = router.owner(key)
			counts[owners[key]]++
		}
		for member, count := range counts {
			assert.Assert(t, count > 150 && count < 250, "%s owns %d", member, count)
		}
		fleet.silent = map[string]bool{"d": true}
		for key, before := range owners {
			after, _ := router.owner(key)
			assert.Assert(t, before == after || before == "d", "%s moved from %s", key, before)
		}
	})
}
