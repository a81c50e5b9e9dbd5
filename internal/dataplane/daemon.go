package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/client"
	"ferryspar/internal/match"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/record"
	"ferryspar/internal/replica"
)

// Daemon is one data plane: the client side, the matcher, the state that control planes tell, and
// the forwarder to replicas.
type Daemon struct {
	settings nodesettings.Settings
	// path is the settings file, read again at a hangup signal.
	path string
	// fleet is what the matcher and the client side see, replaced as a whole.
	fleet     atomic.Pointer[match.Snapshot]
	matcher   *match.Matcher
	state     *FleetState
	listener  *Listener
	handler   *client.Handler
	peers     *peer.Client
	forwarder *replica.Forwarder
	quotas    *Quotas
	// leaving is set once the daemon is to end.
	leaving atomic.Bool
	network peer.Network
}

// New puts a data plane together; nothing runs or listens before Run. The path is that of the
// settings file, or empty if there is none.
func New(settings nodesettings.Settings, path string, network peer.Network) *Daemon {
	daemon := &Daemon{settings: settings, path: path, network: network, peers: peer.NewClient(network)}
	bounds := settings.TimingBounds
	began := lifeBegan(settings)
	parameters := match.DefaultParameters()
	parameters.Daemon, parameters.LifeBegan = settings.NodeName, began
	parameters.ColdOverage = bounds.ColdOverage
	parameters.ColdSlack = bounds.ColdSlack
	daemon.fleet.Store(&match.Snapshot{})
	daemon.matcher = match.NewMatcher(parameters, settings.Zone, time.Now, &daemon.fleet)
	daemon.state = NewFleetState(settings, time.Now, &daemon.fleet, daemon.matcher.SnapshotChanged)
	daemon.state.forget = daemon.matcher.UpdateLedger
	daemon.state.rehearsal.answer = daemon.answerForecast
	daemon.matcher.OnDemand = daemon.state.interest.Want
	daemon.matcher.LedgerTrusted = daemon.state.Trusts
	daemon.quotas = NewQuotas(settings, daemon.peers, time.Now)
	daemon.state.quotas = daemon.quotas
	daemon.listener = NewListener(settings, daemon.peers, time.Now, daemon.state)
	daemon.state.askAgain = daemon.listener.AskAgain
	silence := nodesettings.Milliseconds(bounds.ContactMs)
	daemon.forwarder = replica.NewForwarder(network, time.Now, connectBound, silence)
	daemon.matcher.OnSuspect = daemon.forwarder.CloseIdle
	budgets := &client.Budgets{
		Daemon: settings.NodeName, Since: began, Period: nodesettings.Seconds(bounds.BudgetPeriodS),
		Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack,
	}
	daemon.handler = client.NewHandler(&daemon.fleet, daemon.matcher, daemon.forwarder, budgets, time.Now, rand.Float64)
	daemon.handler.Currency = daemon.state.currency
	daemon.handler.Quota = daemon.quotas
	return daemon
}

// connectBound is how long a connection to a replica may take.
const connectBound = 400 * time.Millisecond

// Record has requests, configurations and fleets recorded to the writer. Call it before Run.
func (d *Daemon) Record(writer *record.Writer) {
	d.state.Recorder = writer
	d.handler.Recorder = writer
}

// Run listens and serves until the context ends, the stop signal comes, or a listener fails. Ending
// the context ends at once; the stop signal lets requests under way finish within the grace time.
func (d *Daemon) Run(parent context.Context, signals nodesettings.Signals) error {
	ctx, cancel := context.WithCancel(parent)
	var cleanup []func()
	defer func() {
		for position := len(cleanup) - 1; position >= 0; position-- {
			cleanup[position]()
		}
	}()
	cleanup = append(cleanup, cancel)
	inner, err := d.listenInside()
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	cleanup = append(cleanup, func() { inner.Close() })
	go d.matcher.Run(ctx)
	d.listener.Follow(ctx, d.settings.SeedPeers())
	go d.state.Run(ctx, d.listener)
	go d.reportLoads(ctx)
	go d.quotas.Run(ctx)
	followSeeds := func(fresh nodesettings.Settings) { d.listener.Follow(ctx, fresh.SeedPeers()) }
	go nodesettings.Watch(ctx, d.path, "edge", signals.Hangup, followSeeds)

	clients, err := d.network.Listen(d.settings.BindAddresses.DataPlane)
	if err != nil {
		return errors.Wrap(err, "data plane address")
	}
	cleanup = append(cleanup, func() { clients.Close() })
	readiness, err := d.network.Listen(d.settings.BindAddresses.Readiness)
	if err != nil {
		return errors.Wrap(err, "readiness address")
	}
	cleanup = append(cleanup, func() { readiness.Close() })
	server := d.newServer()
	failures := make(chan error, 3)
	limited := client.NewLimitedListener(clients, d.maxConnections(), d.clientLimits)
	go func() { failures <- server.Serve(limited) }()
	go func() { failures <- http.Serve(readiness, d.readinessRoutes()) }()
	neighbours := &http.Server{Handler: d.quotas.routes(), IdleTimeout: time.Minute, ErrorLog: discardLog()}
	go func() { failures <- neighbours.Serve(inner) }()
	logrus.WithFields(logrus.Fields{
		"data_plane": clients.Addr().String(),
		"zone":       d.settings.Zone,
	}).Info("data plane listens")

	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		d.shutDown(server)
		return nil
	}
}

const (
	// noticeTime is how long clients are given to be routed elsewhere before the server closes.
	noticeTime = 2300 * time.Millisecond
	// graceReserve is the part of the grace time kept for ending.
	graceReserve = 300 * time.Millisecond
)

// shutDown becomes unready, waits for the load balancers to notice, and lets requests under way end
// within the grace time.
func (d *Daemon) shutDown(server *http.Server) {
	logrus.Info("leaving: not ready from now on")
	d.leaving.Store(true)
	d.handler.Leave()
	d.matcher.StartDraining()
	d.quotas.Leave()
	d.state.wants.leaving.Store(true)
	began := time.Now()
	grace := nodesettings.Seconds(d.settings.TimingBounds.GraceS) - graceReserve
	time.Sleep(min(noticeTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logrus.WithField("inside", d.handler.Inside()).Warn("grace is over with requests inside")
		server.Close()
	}
	logrus.WithField("took_ms", time.Since(began).Milliseconds()).Info("left")
}

// loadReportEvery is how often the load is reported, beside the times when the matcher asks for it.
const loadReportEvery = 300 * time.Millisecond

// reportLoads reports the load to the control plane that parts are followed at, and hands the
// answer, the load of the others, to the state. An empty load is reported once.
func (d *Daemon) reportLoads(ctx context.Context) {
	ticker := time.NewTicker(loadReportEvery)
	defer ticker.Stop()
	quiet := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.matcher.LoadReportDue:
		}
		primary := *d.state.wants.primary.Load()
		if primary == "" {
			continue
		}
		report := d.matcher.LoadReport(ctx)
		report.Daemon = d.settings.NodeName
		empty := len(report.Models) == 0 && len(report.Replicas) == 0
		if empty && quiet {
			continue
		}
		quiet = empty
		var outlook peer.FleetLoad
		if d.peers.Ask(ctx, "pressure", primary, report, &outlook) == nil {
			d.state.outlook <- outlook
		}
	}
}
