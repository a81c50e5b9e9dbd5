package dataplane

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/bodybudget"
	"ferryspar/internal/httpframing"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/proxy"
	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// Node is a data-plane node: the proxy for clients, the matcher, the state watched from the control plane, and the forwarder to
// replicas.
type Node struct {
	settings nodesettings.Settings
	// settingsPath is the settings file, which is reloaded on SIGHUP; empty if there is none.
	settingsPath string
	network      peer.Network
	// snapshot is the state by which the matcher and the proxy route. Only FleetState replaces it.
	snapshot  atomic.Pointer[routing.Snapshot]
	matcher   *routing.Matcher
	state     *FleetState
	watcher   *Watcher
	proxy     *proxy.Handler
	peers     *peer.Client
	forwarder *replica.Forwarder
	quotas    *Quotas
	// bodies limits the memory of request bodies.
	bodies *bodybudget.Budget
	// usage counts the requests of tenants; nil if the platform does not collect usage.
	usage *usageCounter
	// draining is set once a graceful shutdown has begun.
	draining atomic.Bool
}

// replicaConnectTimeout limits connection setup to a replica.
const replicaConnectTimeout = 400 * time.Millisecond

// New returns a data-plane node, which neither runs nor listens before Run. settingsPath is the settings file, or empty if there
// is none.
func New(settings nodesettings.Settings, settingsPath string, network peer.Network) *Node {
	node := &Node{
		settings:     settings,
		settingsPath: settingsPath,
		network:      network,
		peers:        peer.NewClient(network),
	}
	startedAt := incarnationStart(settings)
	node.snapshot.Store(&routing.Snapshot{})
	node.matcher = routing.NewMatcher(matcherParameters(settings, startedAt), settings.Zone, time.Now, &node.snapshot)
	node.quotas = NewQuotas(settings, node.peers, time.Now)
	node.state = NewFleetState(FleetStateOptions{
		Settings:       settings,
		Clock:          time.Now,
		Snapshot:       &node.snapshot,
		OnChange:       node.matcher.SnapshotChanged,
		UpdateLedger:   node.matcher.UpdateLedger,
		AnswerForecast: node.answerForecast,
		Repoll:         func(address string) { node.watcher.Repoll(address) },
		Quotas:         node.quotas,
	})
	node.watcher = NewWatcher(node.peers, time.Now, node.state)

	ackTimeout := nodesettings.Milliseconds(settings.TimingBounds.ContactMs)
	node.forwarder = replica.NewForwarder(network, time.Now, replicaConnectTimeout, ackTimeout)
	node.matcher.OnDemand = node.state.interest.recordRequest
	node.matcher.LedgerTrusted = node.state.TrustsContext
	node.matcher.OnSuspect = node.forwarder.CloseIdleConnections

	budgets := retryBudgets(settings, startedAt)
	node.bodies = bodybudget.New(bodybudget.ShareOf(settings.Limits.MemoryMb, bodybudget.DataPlaneShare))
	node.proxy = proxy.NewHandler(&node.snapshot, node.matcher, node.forwarder, budgets, node.bodies, time.Now, rand.Float64)
	node.proxy.Freshness = node.state.freshness
	node.proxy.Quota = node.quotas
	if settings.CloudAPI.HasDuty(nodesettings.DutyUsage) {
		node.usage = newUsageCounter(settings, time.Now)
		node.proxy.Usage = node.usage
	}
	return node
}

// incarnationStart returns when this incarnation of the node started. At the first start of the whole system, before which there
// was no other incarnation, it returns zero.
func incarnationStart(settings nodesettings.Settings) time.Time {
	if settings.Bootstrap {
		return time.Time{}
	}
	return time.Now()
}

func matcherParameters(settings nodesettings.Settings, startedAt time.Time) routing.Parameters {
	parameters := routing.DefaultParameters()
	parameters.NodeName = settings.NodeName
	parameters.StartedAt = startedAt
	parameters.WarmUpOverage = settings.TimingBounds.ColdOverage
	parameters.WarmUpSlack = settings.TimingBounds.ColdSlack
	return parameters
}

func retryBudgets(settings nodesettings.Settings, startedAt time.Time) *proxy.RetryBudgets {
	bounds := settings.TimingBounds
	return proxy.NewRetryBudgets(proxy.RetryBudgetOptions{
		Node:      settings.NodeName,
		StartedAt: startedAt,
		Period:    nodesettings.Seconds(bounds.BudgetPeriodS),
		Ratio:     bounds.RetryBudgetRatio,
		Slack:     bounds.RetryBudgetSlack,
	})
}

// SetRequestLog makes the node write requests, configurations and fleets to the request log. It must be called before Run.
func (n *Node) SetRequestLog(writer *requestlog.Writer) {
	n.state.requestLog = writer
	n.proxy.RequestLog = writer
}

// Run listens and serves until the context ends, the stop signal is received, or a listener fails. If the context ends, Run stops
// immediately; on the stop signal, requests in flight may finish within the grace period. Before Run returns, it waits for all
// its goroutines that watch the control plane.
func (n *Node) Run(parent context.Context, signals nodesettings.Signals) error {
	peerListener, err := n.listenForPeers()
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	defer peerListener.Close()
	stop := n.startWorkers(parent, signals)
	defer stop()

	clientListener, err := n.network.Listen(n.settings.BindAddresses.DataPlane)
	if err != nil {
		return errors.Wrap(err, "data plane address")
	}
	defer clientListener.Close()
	statusListener, err := n.network.Listen(n.settings.BindAddresses.Readiness)
	if err != nil {
		return errors.Wrap(err, "readiness address")
	}
	defer statusListener.Close()

	clientServer := n.newClientServer()
	failures := make(chan error, 3)
	go func() { failures <- n.serveClients(clientServer, clientListener) }()
	go func() { failures <- httpframing.Serve(n.newStatusServer(), statusListener, ownListenerOptions) }()
	go func() { failures <- httpframing.Serve(n.newPeerServer(), peerListener, ownListenerOptions) }()
	n.logListening(clientListener)

	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		n.shutDown(clientServer)
		return nil
	}
}

func (n *Node) logListening(clientListener net.Listener) {
	logrus.WithFields(logrus.Fields{
		"data_plane": clientListener.Addr().String(),
		"zone":       n.settings.Zone,
	}).Info("data plane listening")
}

// startWorkers starts the matcher and the goroutines that watch the control plane. The returned function stops them and waits
// for them: first those that send work to the matcher, then the matcher, so that none of them blocks on it forever. For the same
// reason the matcher's context does not end with the parent's.
func (n *Node) startWorkers(parent context.Context, signals nodesettings.Signals) (stop func()) {
	matcherContext, stopMatcher := context.WithCancel(context.WithoutCancel(parent))
	var matcher sync.WaitGroup
	matcher.Go(func() { n.matcher.Run(matcherContext) })

	ctx, stopWorkers := context.WithCancel(parent)
	var workers sync.WaitGroup
	n.watcher.Watch(ctx, n.settings.SeedPeers())
	workers.Go(func() { n.state.Run(ctx, n.watcher, n.peers) })
	workers.Go(func() { n.reportLoad(ctx) })
	workers.Go(func() { n.quotas.Run(ctx) })
	workers.Go(func() { n.logAttempts(ctx) })
	workers.Go(func() {
		watchSeeds := func(fresh nodesettings.Settings) { n.watcher.Watch(ctx, fresh.SeedPeers()) }
		nodesettings.Watch(ctx, n.settingsPath, "edge", signals.Hangup, watchSeeds)
	})
	return func() {
		stopWorkers()
		workers.Wait()
		n.watcher.Wait()
		stopMatcher()
		matcher.Wait()
	}
}

const (
	// drainNotice is how long the server stays open after readiness turns off, so that load balancers can redirect clients.
	drainNotice = 2300 * time.Millisecond
	// maxCloseReserve and closeReserveShare limit the part of the grace period that is reserved for closing connections: clients
	// allow for responses that are cut in the last sixth of it only.
	maxCloseReserve   = 300 * time.Millisecond
	closeReserveShare = 1.0 / 12
)

// servingTime returns how long requests in flight may go on in a grace period.
func servingTime(grace time.Duration) time.Duration {
	return grace - min(maxCloseReserve, time.Duration(closeReserveShare*float64(grace)))
}

// shutDown turns readiness off, waits for load balancers to notice, and lets requests in flight finish within the grace period.
func (n *Node) shutDown(server *http.Server) {
	logrus.Info("shutting down, reporting not ready")
	startedAt := time.Now()
	serving := servingTime(nodesettings.Seconds(n.settings.TimingBounds.GraceS))
	closesAt := startedAt.Add(serving)
	n.drain(closesAt)
	time.Sleep(min(drainNotice, serving/2))
	awaitCPUTime(time.Now, time.Sleep, startedAt.Add(serving/2))
	ctx, cancel := context.WithDeadline(context.Background(), closesAt)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logrus.WithError(err).WithField("in_flight", n.proxy.InFlight()).Warn("grace period expired with requests in flight")
		server.Close()
	}
	logrus.WithField("duration_ms", time.Since(startedAt).Milliseconds()).Info("shutdown complete")
}

// drain starts the graceful shutdown of every part of the node. Its connections are closed at closesAt.
func (n *Node) drain(closesAt time.Time) {
	n.draining.Store(true)
	n.proxy.Drain(closesAt)
	n.matcher.StartDraining()
	n.quotas.Drain()
	n.state.Drain()
}
