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
	// forwardTimeout is how long the owner of an item may take before another control plane becomes its owner. After
	// resendAfter the call is sent to it once more: the network may have lost the first message.
	forwardTimeout = 400 * time.Millisecond
	resendAfter    = 150 * time.Millisecond
	// maxMessages is how often a call is sent to one node.
	maxMessages = 2
	// avoidFor is how long a control plane that did not answer in time gets no further calls, refusedFor one that no process
	// listens at.
	avoidFor   = 2 * time.Second
	refusedFor = 400 * time.Millisecond
)

// forward has another node carry out a call.
func (r *Router) forward(
	ctx context.Context, owner string, request peer.CoordinationRequest,
) (coordination.Result, error) {
	wait := request.Call.Wait()
	bounded, cancel := context.WithTimeout(ctx, forwardTimeout+wait)
	defer cancel()
	reply, err := r.send(bounded, owner, request, resendAfter+wait)
	if err == nil {
		return reply.Result, errorOf(reply.Status)
	}
	if ctx.Err() != nil {
		return coordination.Result{}, ErrUncertain // the caller's time is up, which says nothing of the owner
	}
	if isRefused(err) {
		r.avoid(owner, refusedFor, err)
		return coordination.Result{}, ErrNotExecuted
	}
	r.avoid(owner, avoidFor, err)
	return coordination.Result{}, ErrUncertain
}

// forwardedReply is what came of one message.
type forwardedReply struct {
	reply peer.CoordinationReply
	err   error
}

// send sends a call, and once more if there is no reply after a while, and returns the first reply. The error is of the last message
// that failed, unless that was refused and another one was not.
func (r *Router) send(
	ctx context.Context, owner string, request peer.CoordinationRequest, after time.Duration,
) (peer.CoordinationReply, error) {
	received := make(chan forwardedReply, maxMessages)
	sendOnce := func() {
		var reply peer.CoordinationReply
		err := r.caller.Call(ctx, peer.MethodCoordinate, owner, request, &reply)
		received <- forwardedReply{reply: reply, err: err}
	}
	go sendOnce()
	timer := time.NewTimer(after)
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
			if failure == nil || isRefused(failure) {
				failure = answered.err
			}
		}
	}
	return peer.CoordinationReply{}, failure
}

// isRefused says that a call failed before it was sent: no connection was established.
func isRefused(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
