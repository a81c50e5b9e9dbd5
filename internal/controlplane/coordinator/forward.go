package coordinator

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordination"
	"ferryspar/internal/peer"
)

const (
	// forwardTimeout is how long the owner of an item may take before another control plane takes the item over. After
	// resendDelay the call is sent to the owner once more, because the network may have lost the first message.
	forwardTimeout = 400 * time.Millisecond
	resendDelay    = 150 * time.Millisecond
	// maxSends is the maximum number of times that a call is sent to one node.
	maxSends = 2
	// avoidDuration is how long no calls are sent to a control plane that did not answer in time. refusedAvoidDuration is the
	// same for one to which no connection could be established.
	avoidDuration        = 2 * time.Second
	refusedAvoidDuration = 400 * time.Millisecond
)

// forward sends a call to another node for execution.
func (r *Router) forward(
	ctx context.Context, owner string, request peer.CoordinationRequest,
) (coordination.Result, error) {
	wait := request.Call.Wait()
	bounded, cancel := context.WithTimeout(ctx, forwardTimeout+wait)
	defer cancel()
	reply, err := r.sendWithResend(bounded, owner, request, resendDelay+wait)
	if err == nil {
		return reply.Result, errorOf(reply.Status)
	}
	if ctx.Err() != nil {
		return coordination.Result{}, ErrUncertain // the caller's context ended, which says nothing about the owner
	}
	if isDialError(err) {
		r.avoid(owner, refusedAvoidDuration, err)
		return coordination.Result{}, ErrNotExecuted
	}
	r.avoid(owner, avoidDuration, err)
	return coordination.Result{}, ErrUncertain
}

// forwardedReply is the outcome of one message.
type forwardedReply struct {
	reply peer.CoordinationReply
	err   error
}

// sendWithResend sends a call, sends it once more if there is no reply after delay, and returns the first reply. If all messages
// fail, it returns the first error that is not a dial error, if any, because that message may have been executed.
func (r *Router) sendWithResend(
	ctx context.Context, owner string, request peer.CoordinationRequest, delay time.Duration,
) (peer.CoordinationReply, error) {
	received := make(chan forwardedReply, maxSends)
	sendOnce := func() {
		var reply peer.CoordinationReply
		err := r.caller.Call(ctx, peer.MethodCoordinate, owner, request, &reply)
		received <- forwardedReply{reply: reply, err: err}
	}
	go sendOnce()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failure error
	for pending := 1; pending > 0; {
		select {
		case <-timer.C:
			go sendOnce()
			pending++
		case answered := <-received:
			if answered.err == nil {
				return answered.reply, nil
			}
			pending--
			if failure == nil || isDialError(failure) {
				failure = answered.err
			}
		}
	}
	return peer.CoordinationReply{}, failure
}

// isDialError reports whether a call failed before it was sent because no connection was established.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
