package configchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/peer"
)

const (
	// pendingReplyAfter is the time after which the owner replies that a call is still in progress. It is shorter than the
	// time-out of peer.MethodChange, so that no reply means that the owner is unreachable.
	pendingReplyAfter = 400 * time.Millisecond
	// maxPending is how long to wait for the outcome of a call in progress at the owner.
	maxPending = 3 * time.Second
	// outcomeInterval is the interval at which this node checks, while the owner executes a call, whether the committed state
	// that it has learned of already decides the call.
	outcomeInterval = 50 * time.Millisecond
	// avoidDuration is how long an owner that did not answer is sent no calls. By then this node, or another, owns the key.
	avoidDuration = 2 * time.Second
)

// Host is the node that a Forwarder belongs to.
type Host interface {
	// ConfigurationOwner returns the address of the node that last wrote the configuration, as far as this node knows.
	ConfigurationOwner() string
	// Outcome returns the result of a call according to the newest committed configuration that this node has learned of. decided
	// is false if that configuration leaves the result open. Outcome sends no messages.
	Outcome(call Call) (decided bool, err error)
	// IsReachable reports whether another node was heard from recently and is not leaving.
	IsReachable(address string) bool
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Forwarder forwards calls to the node that owns the configuration's key, and executes them at this node if it is the owner or
// the owner does not answer. It is safe for concurrent use.
type Forwarder struct {
	host   Host
	caller Caller
	clock  func() time.Time
	// received runs the calls that operators send to this node. local runs the calls that this node executes, whoever received
	// them.
	received *Executor
	local    *Executor

	lock sync.Mutex
	// avoided holds, by address, the time until which an owner that did not answer is sent no calls.
	avoided map[string]time.Time
}

// NewForwarder returns a forwarder that sends calls to other nodes through caller and executes calls at this node with execute.
func NewForwarder(host Host, caller Caller, execute ExecuteFunc, clock func() time.Time) *Forwarder {
	forwarder := &Forwarder{
		host:    host,
		caller:  caller,
		clock:   clock,
		local:   NewExecutor(execute),
		avoided: map[string]time.Time{},
	}
	forwarder.received = NewExecutor(forwarder.route)
	return forwarder
}

// Change executes a call. Its errors are of package apierror. If ctx ends first, the call continues.
//
// The call is not canceled when the operator's request times out, because the resend would then start over at another node what a
// slow but live owner has already begun.
func (f *Forwarder) Change(ctx context.Context, call Call) error { return f.received.Do(ctx, call) }

// route executes a call at the owner, or at this node if the owner is not available.
func (f *Forwarder) route(call Call) error {
	owner := f.host.ConfigurationOwner()
	if f.isOwnerAvailable(owner) {
		// Most calls are resends or conflicts. Answering them here keeps the load off the owner, which would otherwise receive
		// all of them.
		if decided, err := f.host.Outcome(call); decided {
			return err
		}
		if answered, err := f.callOwner(owner, call); answered {
			return err
		}
	}
	return f.local.Do(context.Background(), call)
}

// isOwnerAvailable reports whether the owner is another node that is reachable and not avoided.
func (f *Forwarder) isOwnerAvailable(owner string) bool {
	if !f.host.IsReachable(owner) {
		return false
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	return !f.clock().Before(f.avoided[owner])
}

// callOwner forwards a call to the owner and returns its decision. An overloaded owner may reply long after it has committed the
// change, so committed state that this node learns of in the meantime is used as well.
func (f *Forwarder) callOwner(owner string, call Call) (answered bool, err error) {
	type forwarded struct {
		reply    peer.ChangeReply
		answered bool
	}
	replies := make(chan forwarded, 1)
	go func() {
		reply, answered := f.forward(owner, call)
		replies <- forwarded{reply: reply, answered: answered}
	}()
	ticker := time.NewTicker(outcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-replies:
			return received.answered, replyError(received.reply)
		case <-ticker.C:
		}
		if decided, err := f.host.Outcome(call); decided {
			return true, err
		}
	}
}

// forward sends a call to the owner until it is decided, and returns the reply. It returns false if the owner does not answer or
// could not decide the call, which this node must then execute itself. The body is sent again only if the owner does not know the
// call.
func (f *Forwarder) forward(owner string, call Call) (peer.ChangeReply, bool) {
	deadline := f.clock().Add(maxPending)
	identity := call.digest()
	request := peer.ChangeRequest{Digest: identity[:], Method: call.Method, Condition: call.Condition, Body: call.Body}
	for {
		var reply peer.ChangeReply
		if err := f.caller.Call(context.Background(), peer.MethodChange, owner, request, &reply); err != nil {
			f.avoid(owner, err)
			return reply, false
		}
		switch reply.Outcome {
		case peer.ChangePending:
			request.Body = nil
		case peer.ChangeUnknown:
			request.Body = call.Body
		case peer.ChangeUndecided:
			return reply, false
		default:
			return reply, true
		}
		if f.clock().After(deadline) {
			return peer.ChangeReply{Outcome: peer.ChangePending}, true
		}
	}
}

func (f *Forwarder) avoid(owner string, err error) {
	logrus.WithError(err).WithField("peer", owner).Info("owner of the configuration does not answer")
	f.lock.Lock()
	defer f.lock.Unlock()
	f.avoided[owner] = f.clock().Add(avoidDuration)
}

// HandleChange executes a call that another node forwarded, or replies that it is still in progress.
func (f *Forwarder) HandleChange(ctx context.Context, request peer.ChangeRequest) peer.ChangeReply {
	var identity digest
	copy(identity[:], request.Digest)
	running := f.local.find(identity)
	if running == nil && len(request.Body) == 0 {
		return peer.ChangeReply{Outcome: peer.ChangeUnknown}
	}
	if running == nil {
		running = f.local.start(Call{Method: request.Method, Condition: request.Condition, Body: request.Body})
	}
	timer := time.NewTimer(pendingReplyAfter)
	defer timer.Stop()
	select {
	case <-running.done:
		return newReply(running.err)
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.ChangeReply{Outcome: peer.ChangePending}
}

// outcomeByKind maps the kinds of errors that decide a call to their wire values. All other errors leave a call undecided.
var outcomeByKind = map[apierror.Kind]peer.ChangeOutcome{
	apierror.InvalidConfiguration: peer.ChangeInvalid,
	apierror.VersionConflict:      peer.ChangeConflict,
	apierror.CallTooOld:           peer.ChangeTooOld,
}

func newReply(err error) peer.ChangeReply {
	if err == nil {
		return peer.ChangeReply{Outcome: peer.ChangeAcknowledged}
	}
	var known *apierror.Error
	if errors.As(err, &known) {
		if outcome, decides := outcomeByKind[known.Kind]; decides {
			return peer.ChangeReply{Outcome: outcome, Detail: known.Detail}
		}
	}
	return peer.ChangeReply{Outcome: peer.ChangeUndecided}
}

// replyError returns the error for the operator's response.
func replyError(reply peer.ChangeReply) error {
	if reply.Outcome == peer.ChangeAcknowledged {
		return nil
	}
	for kind, outcome := range outcomeByKind {
		if outcome == reply.Outcome {
			return &apierror.Error{Kind: kind, Detail: reply.Detail}
		}
	}
	return apierror.New(apierror.UncertainWrite, "")
}
