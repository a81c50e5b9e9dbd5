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
	// pendingReplyAfter is how long a call may take before the owner answers that it is under way: sooner than the
	// timeout of peer.MethodChange, so that silence means that the owner can't be reached.
	pendingReplyAfter = 400 * time.Millisecond
	// maxPending is how long the outcome of a call under way at its owner is awaited.
	maxPending = 3 * time.Second
	// outcomeInterval is how often, while the owner is at work, this node looks whether what it has learned decides the call.
	outcomeInterval = 50 * time.Millisecond
	// avoidFor is how long an owner that did not answer is left alone: by then this node, or another, owns the key.
	avoidFor = 2 * time.Second
)

// Host is the node that a Forwarder belongs to.
type Host interface {
	// ConfigurationOwner is the address of the node that wrote the configuration last, as far as is known here.
	ConfigurationOwner() string
	// Outcome returns what became of a call by the newest committed configuration that this node has learned of, or false if that
	// leaves it open. It sends no messages.
	Outcome(call Call) (decided bool, err error)
	// IsReachable tells whether another node was heard just now and stays.
	IsReachable(address string) bool
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// Forwarder has calls carried out at the node that owns the configuration's key, and at this one if that is the owner or the
// owner does not answer. It is safe for concurrent use.
type Forwarder struct {
	host   Host
	caller Caller
	clock  func() time.Time
	// routed has the calls of operators at this node, local those that are carried out here, for whomever.
	routed *Executor
	local  *Executor

	lock sync.Mutex
	// avoided holds until when owners that did not answer are left alone.
	avoided map[string]time.Time
}

// NewForwarder returns a forwarder to other nodes, or to this one, which carries calls out by execute.
func NewForwarder(host Host, caller Caller, execute ExecuteFunc, clock func() time.Time) *Forwarder {
	forwarder := &Forwarder{
		host:    host,
		caller:  caller,
		clock:   clock,
		local:   NewExecutor(execute),
		avoided: map[string]time.Time{},
	}
	forwarder.routed = NewExecutor(forwarder.route)
	return forwarder
}

// Change carries out a call. Its errors are of package apierror. If the context ends first the call goes on.
//
// It does not end with the operator's patience: what an owner that is slow, but alive, has begun would be begun again elsewhere.
func (f *Forwarder) Change(ctx context.Context, call Call) error { return f.routed.Do(ctx, call) }

// route has a call carried out by the owner, or here.
func (f *Forwarder) route(call Call) error {
	owner := f.host.ConfigurationOwner()
	if f.mayAsk(owner) {
		// Resends and conflicts, most of all calls, are answered without the owner: it alone would have to bear them all.
		if decided, err := f.host.Outcome(call); decided {
			return err
		}
		if answered, err := f.askOwner(owner, call); answered {
			return err
		}
	}
	return f.local.Do(context.Background(), call)
}

// mayAsk says whether the owner is another node that seems to answer.
func (f *Forwarder) mayAsk(owner string) bool {
	if !f.host.IsReachable(owner) {
		return false
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	return !f.clock().Before(f.avoided[owner])
}

// askOwner has the owner carry out a call, and returns what it decided. An owner that has no time left replies long after it has
// committed: what this node learns meanwhile may decide the call as well.
func (f *Forwarder) askOwner(owner string, call Call) (answered bool, err error) {
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

// forward has the owner carry out a call, and returns its reply. Without an answer, or where the owner could not decide, the
// call is this node's to carry out.
func (f *Forwarder) forward(owner string, call Call) (peer.ChangeReply, bool) {
	giveUpAt := f.clock().Add(maxPending)
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
		if f.clock().After(giveUpAt) {
			return peer.ChangeReply{Outcome: peer.ChangePending}, true
		}
	}
}

func (f *Forwarder) avoid(owner string, err error) {
	logrus.WithError(err).WithField("peer", owner).Info("owner of the configuration does not answer")
	f.lock.Lock()
	defer f.lock.Unlock()
	f.avoided[owner] = f.clock().Add(avoidFor)
}

// HandleChange carries out a call that another node forwards, or says how far it has got.
func (f *Forwarder) HandleChange(ctx context.Context, request peer.ChangeRequest) peer.ChangeReply {
	var identity digest
	copy(identity[:], request.Digest)
	waiting := f.local.find(identity)
	if waiting == nil && len(request.Body) == 0 {
		return peer.ChangeReply{Outcome: peer.ChangeUnknown}
	}
	if waiting == nil {
		waiting = f.local.start(Call{Method: request.Method, Condition: request.Condition, Body: request.Body})
	}
	timer := time.NewTimer(pendingReplyAfter)
	defer timer.Stop()
	select {
	case <-waiting.done:
		return newReply(waiting.err)
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.ChangeReply{Outcome: peer.ChangePending}
}

// outcomes are the errors that decide a call, as they are sent. All others leave it undecided.
var outcomes = map[apierror.Kind]peer.ChangeOutcome{
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
		if outcome, decides := outcomes[known.Kind]; decides {
			return peer.ChangeReply{Outcome: outcome, Detail: known.Detail}
		}
	}
	return peer.ChangeReply{Outcome: peer.ChangeUndecided}
}

// replyError is the error that an operator is answered with.
func replyError(reply peer.ChangeReply) error {
	if reply.Outcome == peer.ChangeAcknowledged {
		return nil
	}
	for kind, outcome := range outcomes {
		if outcome == reply.Outcome {
			return &apierror.Error{Kind: kind, Detail: reply.Detail}
		}
	}
	return apierror.New(apierror.UncertainWrite, "")
}
