package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/proxy"
	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// Node is one data plane: the client side, the matcher, the state that control planes tell, and
// the forwarder to replicas.
type Node struct {
	settings nodesettings.Settings
	// path is the settings file, read again at a hangup signal.
	settingsPath string
	// fleet is what the matcher and the client side see, replaced as a whole.
	fleet     atomic.Pointer[routing.Snapshot]
	matcher   *routing.Matcher
	state     *FleetState
	watcher   *Watcher
	handler   *proxy.Handler
	peers     *peer.Client
	forwarder *replica.Forwarder
	quotas    *Quotas
	// leaving is set once the daemon is to end.
	draining atomic.Bool
	network  peer.Network
}

// New puts a data plane together; nothing runs or listens before Run. The path is that of the
// settings file, or empty if there is none.
func New(settings nodesettings.Settings, path string, network peer.Network) *Node {
	node := &Node{settings: settings, settingsPath: path, network: network, peers: peer.NewClient(network)}
	bounds := settings.TimingBounds
	startedAt := incarnationStart(settings)
	parameters := routing.DefaultParameters()
	parameters.NodeName, parameters.StartedAt = settings.NodeName, startedAt
	parameters.WarmUpOverage = bounds.ColdOverage
	parameters.WarmUpSlack = bounds.ColdSlack
	node.fleet.Store(&routing.Snapshot{})
	node.matcher = routing.NewMatcher(parameters, settings.Zone, time.Now, &node.fleet)
	node.state = NewFleetState(settings, time.Now, &node.fleet, node.matcher.SnapshotChanged)
	node.state.updateLedger = node.matcher.UpdateLedger
	node.state.drills.answerForecast = node.answerForecast
	node.matcher.OnDemand = node.state.interest.RecordRequest
	node.matcher.LedgerTrusted = node.state.TrustsContext
	node.quotas = NewQuotas(settings, node.peers, time.Now)
	node.state.quotas = node.quotas
	node.watcher = NewWatcher(settings, node.peers, time.Now, node.state)
	node.state.repoll = node.watcher.Repoll
	ackTimeout := nodesettings.Milliseconds(bounds.ContactMs)
	node.forwarder = replica.NewForwarder(network, time.Now, connectTimeout, ackTimeout)
	node.matcher.OnSuspect = node.forwarder.CloseIdle
	budgets := &proxy.RetryBudgets{
		Node: settings.NodeName, StartedAt: startedAt, Period: nodesettings.Seconds(bounds.BudgetPeriodS),
		Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack,
	}
	node.handler = proxy.NewHandler(&node.fleet, node.matcher, node.forwarder, budgets, time.Now, rand.Float64)
	node.handler.Freshness = node.state.freshness
	node.handler.Quota = node.quotas
	return node
}

// connectTimeout is how long a connection to a replica may take.
const connectTimeout = 400 * time.Millisecond

// Record has requests, configurations and fleets recorded to the writer. Call it before Run.
func (n *Node) RecordTo(writer *requestlog.Writer) {
	n.state.Recorder = writer
	n.handler.Recorder = writer
}

// Run listens and serves until the context ends, the stop signal comes, or a listener fails. Ending
// the context ends at once; the stop signal lets requests under way finish within the grace time.
func (n *Node) Run(parent context.Context, signals nodesettings.Signals) error {
	ctx, cancel := context.WithCancel(parent)
	var cleanup []func()
	defer func() {
		for index := len(cleanup) - 1; index >= 0; index-- {
			cleanup[index]()
		}
	}()
	cleanup = append(cleanup, cancel)
	peerListener, err := n.listenForPeers()
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	cleanup = append(cleanup, func() { peerListener.Close() })
	go n.matcher.Run(ctx)
	n.watcher.Watch(ctx, n.settings.SeedPeers())
	go n.state.Run(ctx, n.watcher)
	go n.reportLoad(ctx)
	go n.quotas.Run(ctx)
	watchSeeds := func(fresh nodesettings.Settings) { n.watcher.Watch(ctx, fresh.SeedPeers()) }
	go nodesettings.Watch(ctx, n.settingsPath, "edge", signals.Hangup, watchSeeds)

	clientListener, err := n.network.Listen(n.settings.BindAddresses.DataPlane)
	if err != nil {
		return errors.Wrap(err, "data plane address")
	}
	cleanup = append(cleanup, func() { clientListener.Close() })
	readinessListener, err := n.network.Listen(n.settings.BindAddresses.Readiness)
	if err != nil {
		return errors.Wrap(err, "readiness address")
	}
	cleanup = append(cleanup, func() { readinessListener.Close() })
	server := n.newServer()
	failures := make(chan error, 3)
	limited := proxy.NewLimitedListener(clientListener, n.maxClientConnections(), n.clientLimits)
	go func() { failures <- server.Serve(limited) }()
	go func() { failures <- http.Serve(readinessListener, n.statusRoutes()) }()
	peerServer := &http.Server{Handler: n.quotas.routes(), IdleTimeout: time.Minute, ErrorLog: discardLog()}
	go func() { failures <- peerServer.Serve(peerListener) }()
	logrus.WithFields(logrus.Fields{
		"data_plane": clientListener.Addr().String(),
		"zone":       n.settings.Zone,
	}).Info("data plane listens")

	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		n.shutDown(server)
		return nil
	}
}

const (
	// drainNotice is how long clients are given to be routed elsewhere before the server closes.
	drainNotice = 2300 * time.Millisecond
	// closeReserve is the part of the grace time kept for ending.
	closeReserve = 300 * time.Millisecond
)

// shutDown becomes unready, waits for the load balancers to notice, and lets requests under way end
// within the grace time.
func (n *Node) shutDown(server *http.Server) {
	logrus.Info("leaving: not ready from now on")
	n.draining.Store(true)
	n.handler.Drain()
	n.matcher.StartDraining()
	n.quotas.Drain()
	n.state.position.draining.Store(true)
	startedAt := time.Now()
	grace := nodesettings.Seconds(n.settings.TimingBounds.GraceS) - closeReserve
	time.Sleep(min(drainNotice, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logrus.WithField("inside", n.handler.InFlight()).Warn("grace is over with requests inside")
		server.Close()
	}
	logrus.WithField("took_ms", time.Since(startedAt).Milliseconds()).Info("left")
}

// loadReportInterval is how often the load is reported, beside the times when the matcher asks for it.
const loadReportInterval = 300 * time.Millisecond

// reportLoad reports the load to the control plane that parts are followed at, and hands the
// answer, the load of the others, to the state. An empty load is reported once.
func (n *Node) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	reportedEmpty := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.matcher.LoadReportDue:
		}
		primary := *n.state.position.primary.Load()
		if primary == "" {
			continue
		}
		report := n.matcher.LoadReport(ctx)
		report.DataPlane = n.settings.NodeName
		empty := len(report.Models) == 0 && len(report.Replicas) == 0
		if empty && reportedEmpty {
			continue
		}
		reportedEmpty = empty
		var fleetLoad peer.FleetLoad
		if n.peers.Call(ctx, "pressure", primary, report, &fleetLoad) == nil {
			n.state.fleetLoads <- fleetLoad
		}
	}
}
