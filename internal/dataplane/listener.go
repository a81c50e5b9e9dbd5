package dataplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

type watchResult struct {
	address    string
	response   peer.WatchResponse
	sentAt     time.Time
	receivedAt time.Time
	failed     bool
	secondary  bool
	done       chan struct{}
}

func (r watchResult) markHandled() {
	if r.done != nil {
		close(r.done)
	}
}

// Watcher keeps a poll open at every control daemon that is known and passes on what it hears.
type Watcher struct {
	settings     nodesettings.Settings
	peers        *peer.Client
	results      chan watchResult
	clock        func() time.Time
	state        *FleetState
	lock         sync.Mutex
	watched      map[string]context.CancelFunc
	pendingPolls map[string]context.CancelFunc
}

// NewWatcher makes a listener whose answers go to the state.
func NewWatcher(settings nodesettings.Settings, peers *peer.Client, clock func() time.Time, state *FleetState) *Watcher {
	return &Watcher{settings: settings, peers: peers, results: make(chan watchResult, 32), clock: clock, state: state, watched: map[string]context.CancelFunc{}, pendingPolls: map[string]context.CancelFunc{}}
}

// Follow begins to poll the addresses that are not polled yet, until the context ends.
func (w *Watcher) Watch(ctx context.Context, addresses []string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, address := range addresses {
		if address == "" || w.watched[address] != nil {
			continue
		}
		pollContext, cancel := context.WithCancel(ctx)
		w.watched[address] = cancel
		logrus.WithField("control", address).Info("following control daemon")
		go w.pollLoop(pollContext, address)
	}
}

// Repoll breaks off a held poll so that the next one asks for whole news at once.
func (w *Watcher) Repoll(address string) {
	w.lock.Lock()
	stop := w.pendingPolls[address]
	delete(w.pendingPolls, address)
	w.lock.Unlock()
	if stop != nil {
		stop()
	}
}

func (w *Watcher) poll(ctx context.Context, address string, request peer.WatchRequest, response *peer.WatchResponse) (err error, repoll bool) {
	pollContext, stop := context.WithCancel(ctx)
	defer stop()
	if !request.Primary {
		w.lock.Lock()
		w.pendingPolls[address] = stop
		w.lock.Unlock()
		if *w.state.position.primary.Load() == address {
			return nil, true
		}
	}
	err = w.peers.Call(pollContext, peer.MethodWatch, address, request, response)
	return err, err != nil && pollContext.Err() != nil && ctx.Err() == nil
}

const (
	minPollBackoff = 100 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond

	maxSecondaryHoldMs = 2000
)

func (w *Watcher) pollLoop(ctx context.Context, address string) {
	request := peer.WatchRequest{DataPlane: w.settings.NodeName, Zone: w.settings.Zone}
	backoff := minPollBackoff
	for ctx.Err() == nil {
		w.state.fillWatchRequest(&request, address)
		request.MaxWaitMs = int64(w.settings.HeartbeatMs)
		if !request.Primary {
			request.MaxWaitMs = min(2*request.MaxWaitMs, maxSecondaryHoldMs)
		}
		request.MaxWaitMs = w.state.freshness.limitHold(request.MaxWaitMs)
		var response peer.WatchResponse
		sentAt := w.clock()
		err, repoll := w.poll(ctx, address, request, &response)
		if repoll {
			continue
		}
		now := w.clock()
		done := make(chan struct{})
		select {
		case w.results <- watchResult{address: address, response: response, sentAt: sentAt, receivedAt: now, failed: err != nil, secondary: !request.Primary, done: done}:
		case <-ctx.Done():
			return
		}
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		if err != nil {
			nodesettings.Sleep(ctx, backoff)
			backoff = min(backoff*2, maxPollBackoff)
			continue
		}
		backoff = minPollBackoff
		if request.Incarnation != response.Incarnation {
			request.RosterVersion = 0
		}
		request.Incarnation, request.Version = response.Incarnation, response.Version
		request.RosterVersion = max(request.RosterVersion, response.RosterVersion)
		if !response.IsFresh(sentAt, now) || response.Resubscribe {
			nodesettings.Sleep(ctx, minPollBackoff)
		}
	}
}

type watchPosition struct {
	revision      atomic.Int64
	zoneVersion   atomic.Uint64
	contextNumber atomic.Uint64
	forgotNumber  atomic.Uint64
	draining      atomic.Bool
	primary       atomic.Pointer[string]
	subscription  atomic.Pointer[subscription]
}
