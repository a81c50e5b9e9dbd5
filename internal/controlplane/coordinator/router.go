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
	// callTimeout bounds a call in total. Callers try another control plane after one second.
	callTimeout = 950 * time.Millisecond
	// unconfirmedTimeout replaces callTimeout while this node has no contact with a majority, so that the caller can try another
	// node sooner.
	unconfirmedTimeout = 450 * time.Millisecond
	// retryDelay is the pause between two attempts.
	retryDelay = 30 * time.Millisecond
	// maxCalls is the maximum number of concurrent application calls per node.
	maxCalls = 2000
	// maxHops is the maximum number of times that a call is forwarded.
	maxHops = 2
	// probeInterval is the interval between probes of an avoided node, and probeTimeout is the time within which it must answer
	// one.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
	// startupGracePeriod is how long after its start a node treats members that it has not heard from as reachable.
	startupGracePeriod = 1500 * time.Millisecond
)

// Cluster is a Router's view of the control plane.
type Cluster interface {
	// Members returns the addresses of the current members, including this node if it is one.
	Members() []string
	// IsReachable reports whether another node was heard from recently and is not leaving.
	IsReachable(address string) bool
	// MayOwn reports whether this node may take ownership of items: it votes, and thus knows the present owners, and is not
	// leaving.
	MayOwn() bool
	// IsConfirmed reports whether this node was recently in contact with a majority.
	IsConfirmed() bool
	// LastOwner returns the node to which this node's acceptor has promised a key, or "".
	LastOwner(key string) string
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Router forwards calls to the owners of their items. The owner is the node that this member's acceptor last promised the item's
// key to. If that node is unreachable, or the item has had no owner yet, it is the first reachable member in the item's
// rendezvous hashing order, so that items are spread over the members and all nodes agree on the owner. If the owner does not
// answer, the next member in that order takes over the item. An item does not move back when a member returns, because each
// takeover makes callers wait longer for a lock.
//
// Every operation may be executed again after an attempt without an answer. A Router is safe for concurrent use.
type Router struct {
	self      string
	cluster   Cluster
	caller    Caller
	executor  *Executor
	clock     func() time.Time
	startedAt time.Time

	// calls counts the application calls in progress.
	calls atomic.Int64

	lock sync.Mutex
	// avoided holds, by address, the time until which a control plane is sent no calls.
	avoided map[string]time.Time
}

// NewRouter returns the router of the node at address self. clock is the node's monotonic clock.
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
	executor.queryPreviousOwner = router.queryPreviousOwner
	return router
}

// Do executes a call of an application. The error is ErrNotExecuted, ErrOverloaded or ErrUncertain.
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

// HandleForwarded executes a call that another node forwarded, or forwards it again if this node knows of another owner, which
// the sender may be unable to reach.
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

// route repeats attempts until one is answered or ctx is done.
func (r *Router) route(ctx context.Context, request peer.CoordinationRequest) (coordination.Result, error) {
	failure := ErrNotExecuted
	for ctx.Err() == nil {
		result, err := r.attempt(ctx, request)
		isUncertain := failure == ErrUncertain
		switch {
		case err == nil && result.Outcome == coordination.OutcomeFull && isUncertain:
			// An earlier attempt with an unknown outcome may still have found room.
		case err == nil, errors.Is(err, ErrOverloaded) && !isUncertain:
			return result, err
		case errors.Is(err, ErrUncertain):
			failure = ErrUncertain
		}
		nodesettings.Sleep(ctx, retryDelay)
	}
	return coordination.Result{}, failure
}

// attempt executes a call once, at the node that should own its item now.
func (r *Router) attempt(ctx context.Context, request peer.CoordinationRequest) (coordination.Result, error) {
	owner, isPreferred := r.chooseOwner(storeKey(request.Call))
	if owner == r.self {
		return r.execute(ctx, request.Call)
	}
	request.Hops++
	request.TakeOver = !isPreferred
	return r.forward(ctx, owner, request)
}

// execute executes a call at this node.
func (r *Router) execute(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	if call.Operation == coordination.OperationEvents && call.WaitMs > 0 {
		return r.executor.AwaitEvents(ctx, call)
	}
	return r.executor.Do(ctx, call)
}

// chooseOwner returns the node that should own an item now. isPreferred is false if the node that others would choose was skipped
// because this node avoids it; the chosen node must then take over the item.
func (r *Router) chooseOwner(key string) (address string, isPreferred bool) {
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

// candidates returns the members that may own items as far as this node knows.
func (r *Router) candidates() []string {
	var reachable []string
	isStarting := r.clock().Sub(r.startedAt) < startupGracePeriod
	for _, member := range r.cluster.Members() {
		if member == r.self {
			if r.cluster.MayOwn() {
				reachable = append(reachable, member)
			}
			continue
		}
		if isStarting || r.cluster.IsReachable(member) {
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

// probe sends probes to an avoided node until it answers within probeTimeout, and then stops avoiding it. This keeps the time
// short in which two nodes that avoid each other take over each other's items.
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
