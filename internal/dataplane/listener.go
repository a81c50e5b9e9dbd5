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

type heard struct {
	address string
	news    peer.News
	asked   time.Time
	at      time.Time
	failed  bool
	aside   bool
	done    chan struct{}
}

func (h heard) taken() {
	if h.done != nil {
		close(h.done)
	}
}

// Listener keeps a poll open at every control daemon that is known and passes on what it hears.
type Listener struct {
	settings nodesettings.Settings
	peers    *peer.Client
	news     chan heard
	clock    func() time.Time
	state    *FleetState
	lock     sync.Mutex
	known    map[string]context.CancelFunc
	asking   map[string]context.CancelFunc
}

// NewListener makes a listener whose answers go to the state.
func NewListener(settings nodesettings.Settings, peers *peer.Client, clock func() time.Time, state *FleetState) *Listener {
	return &Listener{settings: settings, peers: peers, news: make(chan heard, 32), clock: clock, state: state, known: map[string]context.CancelFunc{}, asking: map[string]context.CancelFunc{}}
}

// Follow begins to poll the addresses that are not polled yet, until the context ends.
func (l *Listener) Follow(ctx context.Context, addresses []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, address := range addresses {
		if address == "" || l.known[address] != nil {
			continue
		}
		own, cancel := context.WithCancel(ctx)
		l.known[address] = cancel
		logrus.WithField("control", address).Info("following control daemon")
		go l.follow(own, address)
	}
}

// AskAgain breaks off a held poll so that the next one asks for whole news at once.
func (l *Listener) AskAgain(address string) {
	l.lock.Lock()
	stop := l.asking[address]
	delete(l.asking, address)
	l.lock.Unlock()
	if stop != nil {
		stop()
	}
}

func (l *Listener) ask(ctx context.Context, address string, poll peer.Poll, news *peer.News) (err error, again bool) {
	bounded, stop := context.WithCancel(ctx)
	defer stop()
	if !poll.Wants {
		l.lock.Lock()
		l.asking[address] = stop
		l.lock.Unlock()
		if *l.state.wants.primary.Load() == address {
			return nil, true
		}
	}
	err = l.peers.Ask(bounded, "news", address, poll, news)
	return err, err != nil && bounded.Err() != nil && ctx.Err() == nil
}

const (
	firstPause = 100 * time.Millisecond
	lastPause  = 400 * time.Millisecond

	longestHold = 2000
)

func (l *Listener) follow(ctx context.Context, address string) {
	poll := peer.Poll{Daemon: l.settings.NodeName, Zone: l.settings.Zone}
	pause := firstPause
	for ctx.Err() == nil {
		l.state.fill(&poll, address)
		poll.HoldMs = int64(l.settings.HeartbeatMs)
		if !poll.Wants {
			poll.HoldMs = min(2*poll.HoldMs, longestHold)
		}
		poll.HoldMs = l.state.currency.hold(poll.HoldMs)
		var news peer.News
		asked := l.clock()
		err, again := l.ask(ctx, address, poll, &news)
		if again {
			continue
		}
		now := l.clock()
		done := make(chan struct{})
		select {
		case l.news <- heard{address: address, news: news, asked: asked, at: now, failed: err != nil, aside: !poll.Wants, done: done}:
		case <-ctx.Done():
			return
		}
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		if err != nil {
			nodesettings.Sleep(ctx, pause)
			pause = min(pause*2, lastPause)
			continue
		}
		pause = firstPause
		if poll.Life != news.Life {
			poll.Roster = 0
		}
		poll.Life, poll.Version = news.Life, news.Version
		poll.Roster = max(poll.Roster, news.Roster)
		if !news.Fresh(asked, now) || news.Refollow {
			nodesettings.Sleep(ctx, firstPause)
		}
	}
}

type wants struct {
	revision atomic.Int64
	zones    atomic.Uint64
	context  atomic.Uint64
	forgot   atomic.Uint64
	leaving  atomic.Bool
	primary  atomic.Pointer[string]
	told     atomic.Pointer[toldParts]
}
