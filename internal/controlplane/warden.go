package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/env"
	"ferryspar/internal/layout"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
	"ferryspar/internal/tenure"
)

type charge struct {
	listed    platform.Replica
	models    map[string]bool
	sequence  int64
	known     bool
	asking    bool
	doubts    int
	pending   *place.Action
	began     time.Time
	lookAt    time.Time
	blocked   time.Time
	overlayAt time.Time
	intent    string
	barred    map[string]bool
	stale     bool
}

type overlay struct {
	at     time.Time
	models []platform.Held
	barred []string
}

type Warden struct {
	daemon    *Daemon
	keeper    *tenure.Tenure
	hold      atomic.Pointer[tenure.Hold]
	commander *replica.Commander
	lock      sync.Mutex
	demand    map[string]*place.Pressure
	counted   map[string]float64
	reading   map[string]float64
	learning  time.Time
	heldOnce  map[string]map[string]bool
	nudge     chan struct{}
	results   chan func()
	charges   map[string]*charge
	loads     []time.Time
	table     *layout.Table
	lastRate  time.Time
	heardFrom time.Time
	explained time.Time
	overlays  map[string]overlay
	cleanser  *Cleanser
	feed
}

func NewWarden(daemon *Daemon) *Warden {
	bounds := daemon.settings.TimingBounds
	return &Warden{
		daemon: daemon,
		keeper: &tenure.Tenure{
			Key: placementTenure, Holder: daemon.settings.NodeName, Address: daemon.self, Length: daemon.tenureLength(),
			Settle: env.Milliseconds(bounds.LeaseMs) + 100*time.Millisecond, Keeper: daemon.store, Clock: daemon.clock,
		},
		commander: replica.NewCommander(daemon.network),
		demand:    map[string]*place.Pressure{}, counted: map[string]float64{}, reading: map[string]float64{}, heldOnce: map[string]map[string]bool{},
		nudge: make(chan struct{}, 1), results: make(chan func(), 64), charges: map[string]*charge{}, overlays: map[string]overlay{}, cleanser: newCleanser(), feed: feed{tally: NewTally()}, lastRate: daemon.clock(),
	}
}

func (w *Warden) Holding() bool {
	hold := w.hold.Load()
	return hold != nil && w.daemon.clock().Before(hold.Until)
}

const (
	renewEvery = 300 * time.Millisecond
	planEvery  = 100 * time.Millisecond
	orderNeeds = 800 * time.Millisecond
)

func (w *Warden) Run(ctx context.Context) {
	go w.keepTenure(ctx)
	schedule := time.NewTicker(planEvery)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-schedule.C:
		case <-w.nudge:
		case done := <-w.results:
			done()
			continue
		}
		w.measure()
		if w.hold.Load().Allows(w.daemon.clock(), orderNeeds) {
			w.step(ctx)
		} else if len(w.charges) > 0 && !w.Holding() {
			w.charges = map[string]*charge{}
			w.showOverlays()
		}
	}
}

func (w *Warden) keepTenure(ctx context.Context) {
	patience := time.Duration(rand.IntN(200)) * time.Millisecond
	for index, seed := range w.daemon.settings.SeedPartners() {
		if seed == w.daemon.self {
			patience += time.Duration(index) * 250 * time.Millisecond
		}
	}
	env.Sleep(ctx, patience)
	schedule := time.NewTicker(renewEvery)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.daemon.leaving:
			return
		case <-schedule.C:
		}
		if hold := w.hold.Load(); hold != nil {
			w.hold.Store(w.keeper.Renew(ctx, hold))
			continue
		}
		if !w.mayTry() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		hold, err := w.keeper.Seize(bounded)
		cancel()
		if err != nil {
			env.Sleep(ctx, time.Duration(rand.IntN(300))*time.Millisecond)
			continue
		}
		w.hold.Store(hold)
	}
}

func (w *Warden) mayTry() bool {
	if !w.daemon.acceptor.Self().Voting || !w.daemon.board.Read().Fresh || !w.daemon.store.Members().Has(w.daemon.self) {
		return false
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.daemon.clock().Sub(w.heardFrom) > w.keeper.Length+200*time.Millisecond
}

func (w *Warden) heardHolder() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.heardFrom = w.daemon.clock()
}

const rateSpan = 8.0

func (w *Warden) log(action place.Action, status int, err error) {
	logrus.WithFields(logrus.Fields{
		"replica": action.Server, "load": action.Load, "model": action.Model, "why": action.Why, "status": status,
		"problem": err,
	}).Info("placement order")
}
