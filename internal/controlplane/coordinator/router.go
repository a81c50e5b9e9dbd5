package coordinator

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/coordination"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// callTimeout is how long a call may take in all: callers turn to another control plane after a second.
	callTimeout = 950 * time.Millisecond
	// unconfirmedTimeout is the same while this node has no contact with a majority: another one is the better choice.
	unconfirmedTimeout = 450 * time.Millisecond
	// retryPause lies between attempts that were not carried out.
	retryPause = 30 * time.Millisecond
	// maxCalls is how many calls of applications a node carries out at a time.
	maxCalls = 2000
	// maxHops is how often a call is passed on.
	maxHops = 2
	// probeInterval lies between two probes of a node that is avoided, probeTimeout is how soon it must answer one.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
	// learningPeriod is how long after its start a node takes members that it has not heard of for reachable.
	learningPeriod = 1500 * time.Millisecond
)

// Cluster is what a Router needs to know of the control plane.
type Cluster interface {
	// Members are the addresses of the present members, this node's among them if it is one.
	Members() []string
	// IsReachable tells whether another node, which is not leaving, was heard just now.
	IsReachable(address string) bool
	// MayOwn tells whether this node may take items: it votes, so it knows who owns what, and is not about to end.
	MayOwn() bool
	// IsConfirmed tells whether this node was in contact with a majority lately.
	IsConfirmed() bool
	// LastOwner is the node that has the promise of this node's member for a key, or "".
	LastOwner(key string) string
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Router has calls carried out by the owner of their item. That is the node which has the promises of the members, as the member here
// knows it; if that one is not reachable, or nobody has owned the item yet, it is the first reachable member in an order of the item's
// own, so that items are spread over the members and all nodes agree. If the owner does not answer, the next in that order takes the
// item over. An item stays where it is when a member returns: a takeover has the holder of a lock wait longer.
//
// Every operation may be carried out again after an attempt without an answer. A Router is safe for concurrent use.
type Router struct {
	self      string
	cluster   Cluster
	caller    Caller
	executor  *Executor
	clock     func() time.Time
	startedAt time.Time

	// calls counts the calls of applications under way.
	calls atomic.Int64

	lock sync.Mutex
	// avoided holds until when a control plane gets no calls.
	avoided map[string]time.Time
}

// NewRouter returns a router of the node at address self. clock is its steady clock.
func NewRouter(self string, cluster Cluster, caller Caller, executor *Executor, clock func() time.Time) *Router {
	router := &Router{
		self:      self,
		cluster:   cluster,
		caller:    caller,
		executor:  executor,
		clock:     clock,
		startedAt: clock(),
		avoided:   map[string]time.Time{},
	}
	executor.askFormerOwner = router.askFormerOwner
	return router
}

// Do carries out a call of an application. The error is ErrNotExecuted, ErrOverloaded or ErrUncertain.
func (r *Router) Do(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	defer r.calls.Add(-1)
	if r.calls.Add(1) > maxCalls {
		return coordination.Result{}, ErrOverloaded
	}
	timeout := callTimeout
	if !r.cluster.IsConfirmed() {
		timeout = unconfirmedTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.ID = rand.Text()
	return r.route(bounded, peer.CoordinationRequest{Call: call})
}

// HandleForwarded carries out a call that another node forwards, or passes it on if another one is its owner by what this node
// knows: the sender may be cut off from that one.
func (r *Router) HandleForwarded(ctx context.Context, request peer.CoordinationRequest) peer.CoordinationReply {
	bounded, cancel := context.WithTimeout(ctx, callTimeout+request.Call.Wait())
	defer cancel()
	var result coordination.Result
	var err error
	if request.TakeOver || request.Hops >= maxHops {
		result, err = r.execute(bounded, request.Call)
	} else {
		result, err = r.route(bounded, request)
	}
	return peer.CoordinationReply{Result: result, Status: statusOf(err)}
}

// route makes attempts until one is answered.
func (r *Router) route(ctx context.Context, request peer.CoordinationRequest) (coordination.Result, error) {
	failure := ErrNotExecuted
	for ctx.Err() == nil {
		result, err := r.attempt(ctx, request)
		isUncertain := failure == ErrUncertain
		switch {
		case err == nil && result.Outcome == coordination.OutcomeFull && isUncertain:
			// An earlier attempt may yet find room.
		case err == nil, errors.Is(err, ErrOverloaded) && !isUncertain:
			return result, err
		case errors.Is(err, ErrUncertain):
			failure = ErrUncertain
		}
		nodesettings.Sleep(ctx, retryPause)
	}
	return coordination.Result{}, failure
}

// attempt has a call carried out once by the node that is to own its item now.
func (r *Router) attempt(ctx context.Context, request peer.CoordinationRequest) (coordination.Result, error) {
	owner, isFirst := r.owner(storeKey(request.Call))
	if owner == r.self {
		return r.execute(ctx, request.Call)
	}
	request.Hops++
	request.TakeOver = !isFirst
	return r.forward(ctx, owner, request)
}

// execute carries out a call here.
func (r *Router) execute(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	if call.Operation == coordination.OperationEvents && call.WaitMs > 0 {
		return r.executor.AwaitEvents(ctx, call)
	}
	return r.executor.Do(ctx, call)
}

// owner is the node that is to own an item now. isFirst says that no node was passed over that all others agree on.
func (r *Router) owner(key string) (address string, isFirst bool) {
	candidates := r.candidates()
	if len(candidates) == 0 {
		return r.self, true
	}
	last := r.cluster.LastOwner(key)
	isKnown := slices.Contains(candidates, last)
	if isKnown && !r.isAvoided(last) {
		return last, true
	}
	slices.SortFunc(candidates, func(left, right string) int { return compareByRank(key, left, right) })
	first := candidates[0]
	if isKnown {
		first = last
	}
	for _, candidate := range candidates {
		if !r.isAvoided(candidate) {
			return candidate, candidate == first
		}
	}
	return first, true
}

func (r *Router) isAvoided(address string) bool {
	now := r.clock()
	r.lock.Lock()
	defer r.lock.Unlock()
	return now.Before(r.avoided[address])
}

// candidates are the members that may own items, by what this node knows.
func (r *Router) candidates() []string {
	var reachable []string
	isLearning := r.clock().Sub(r.startedAt) < learningPeriod
	for _, member := range r.cluster.Members() {
		if member == r.self {
			if r.cluster.MayOwn() {
				reachable = append(reachable, member)
			}
			continue
		}
		if isLearning || r.cluster.IsReachable(member) {
			reachable = append(reachable, member)
		}
	}
	return reachable
}

func (r *Router) avoid(address string, duration time.Duration, cause error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.clock()
	if !now.Before(r.avoided[address]) {
		logrus.WithError(cause).WithField("peer", address).Info("owner of coordination items does not answer")
		go r.probe(address)
	}
	r.avoided[address] = now.Add(duration)
}

// probe asks a node that is avoided until it answers as quickly as it should, and ends the avoiding then: while two nodes avoid each
// other both take the items that the other one owns.
func (r *Router) probe(address string) {
	for {
		time.Sleep(probeInterval)
		if !r.isAvoided(address) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		var reply peer.HandoverReply
		err := r.caller.Call(ctx, peer.MethodHandOver, address, peer.HandoverRequest{}, &reply)
		cancel()
		if err == nil {
			r.lock.Lock()
			delete(r.avoided, address)
			r.lock.Unlock()
			return
		}
	}
}
