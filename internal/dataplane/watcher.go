package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

const (
	// minPollBackoff and maxPollBackoff bound the pause after a failed poll, which doubles with each consecutive failure.
	minPollBackoff = 100 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond
	// startupPeriod is how long after the first poll of an address the pause does not grow: after a power loss control planes
	// start some tenths of a second later than data planes, which cannot serve before their first response.
	startupPeriod = 2 * time.Second
	// watchResultBuffer is how many results may be queued for the state.
	watchResultBuffer = 32
)

// pollState is the state that a Watcher polls for. Implementations are safe for concurrent use.
type pollState interface {
	// fillWatchRequest sets the fields of a poll of the address: the adopted state and how long the response may be held.
	fillWatchRequest(request *peer.WatchRequest, address string)
	// Primary returns the address of the primary, or "".
	Primary() string
}

// watchResult is the result of a poll.
type watchResult struct {
	address    string
	response   peer.WatchResponse
	sentAt     time.Time
	receivedAt time.Time
	// err is set if there is no response.
	err error
	// secondary is set if the poll was sent to a node other than the primary. Such polls are held longer.
	secondary bool
	// handled, if not nil, receives the disposition of the result, after which the next poll is sent.
	handled chan resultDisposition
}

// resultDisposition describes how a result was handled.
type resultDisposition struct {
	// configurationRejected is set if the configuration in the response cannot be decoded. The next poll requests it again.
	configurationRejected bool
}

func (r *watchResult) markHandled(disposition resultDisposition) {
	if r.handled != nil {
		r.handled <- disposition
	}
}

// fresh reports whether there is a response and its confirmation by a majority has not expired.
func (r *watchResult) fresh() bool { return r.err == nil && r.response.IsFresh(r.sentAt, r.receivedAt) }

// Watcher keeps a long poll open to every known control-plane node and delivers the results.
type Watcher struct {
	peers   *peer.Client
	clock   func() time.Time
	state   pollState
	results chan watchResult
	polls   sync.WaitGroup

	// lock guards the fields below.
	lock    sync.Mutex
	watched map[string]bool
	// pendingPolls holds, by address, the function that cancels the latest secondary poll. It has no effect if the poll has ended.
	pendingPolls map[string]context.CancelFunc
}

// NewWatcher returns a watcher without addresses to poll.
func NewWatcher(peers *peer.Client, clock func() time.Time, state pollState) *Watcher {
	return &Watcher{
		peers:        peers,
		clock:        clock,
		state:        state,
		results:      make(chan watchResult, watchResultBuffer),
		watched:      map[string]bool{},
		pendingPolls: map[string]context.CancelFunc{},
	}
}

// Watch polls the addresses that are not polled yet, until the context ends. It does not block.
func (w *Watcher) Watch(ctx context.Context, addresses []string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, address := range addresses {
		if address == "" || w.watched[address] {
			continue
		}
		w.watched[address] = true
		logrus.WithField("peer", address).Info("watching control plane node")
		w.polls.Go(func() { w.pollLoop(ctx, address) })
	}
}

// Wait waits for all polls to end, after their context has ended. Watch must not be called afterwards.
func (w *Watcher) Wait() { w.polls.Wait() }

// Repoll cancels a pending secondary poll of the address, so that the next poll requests endpoints without delay.
func (w *Watcher) Repoll(address string) {
	w.lock.Lock()
	cancel := w.pendingPolls[address]
	delete(w.pendingPolls, address)
	w.lock.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (w *Watcher) pollLoop(ctx context.Context, address string) {
	request := peer.WatchRequest{}
	backoff, startedAt := minPollBackoff, w.clock()
	for ctx.Err() == nil {
		w.state.fillWatchRequest(&request, address)
		result, repolled := w.poll(ctx, address, request)
		if repolled {
			continue
		}
		disposition, delivered := w.deliver(ctx, result)
		if !delivered {
			return
		}
		if result.err != nil {
			nodesettings.Sleep(ctx, backoff)
			if w.clock().Sub(startedAt) >= startupPeriod {
				backoff = min(backoff*2, maxPollBackoff)
			}
			continue
		}
		backoff = minPollBackoff
		acknowledge(&request, &result.response)
		nodesettings.Sleep(ctx, pauseAfter(&result, disposition))
	}
}

// pauseAfter returns the pause before the next poll of a node that has responded. It limits the poll rate in the two cases in
// which each poll receives a response immediately: before an operator has created the first configuration (see
// peer.WatchRequest.Linearizable), and while the configuration cannot be decoded.
func pauseAfter(result *watchResult, disposition resultDisposition) time.Duration {
	switch {
	case disposition.configurationRejected:
		return maxPollBackoff
	case !result.fresh() || result.response.Resubscribe:
		return minPollBackoff
	case result.response.Revision == 0:
		return maxPollBackoff
	}
	return 0
}

// poll sends a poll and waits for the response. repolled is set if Repoll cancelled the poll, so that there is no result.
func (w *Watcher) poll(ctx context.Context, address string, request peer.WatchRequest) (result watchResult, repolled bool) {
	pollContext, cancel := context.WithCancel(ctx)
	defer cancel()
	result = watchResult{address: address, sentAt: w.clock(), secondary: !request.Primary}
	if result.secondary {
		w.lock.Lock()
		w.pendingPolls[address] = cancel
		w.lock.Unlock()
		if w.state.Primary() == address {
			// The node became the primary after the request was filled, possibly before Repoll could find this poll.
			return result, true
		}
	}
	result.err = w.peers.Call(pollContext, peer.MethodWatch, address, request, &result.response)
	result.receivedAt = w.clock()
	repolled = result.err != nil && pollContext.Err() != nil && ctx.Err() == nil
	return result, repolled
}

// deliver delivers a result and waits until it has been handled. delivered is false if the context ended first.
func (w *Watcher) deliver(ctx context.Context, result watchResult) (disposition resultDisposition, delivered bool) {
	result.handled = make(chan resultDisposition, 1)
	select {
	case w.results <- result:
	case <-ctx.Done():
		return disposition, false
	}
	select {
	case disposition = <-result.handled:
		return disposition, true
	case <-ctx.Done():
		return disposition, false
	}
}

// acknowledge makes the next poll acknowledge this response.
func acknowledge(request *peer.WatchRequest, response *peer.WatchResponse) {
	if request.Incarnation != response.Incarnation {
		request.RosterVersion = 0
	}
	request.Incarnation, request.Version = response.Incarnation, response.Version
	request.RosterVersion = max(request.RosterVersion, response.RosterVersion)
	request.ControlPlanesVersion = response.ControlPlanesVersion
}
