package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/bodybudget"
	"ferryspar/internal/httpframing"
	"ferryspar/internal/nodesettings"
)

const (
	idleTimeout       = time.Minute
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 30 * time.Second
	// minBodyBytes is the least that the request bodies of one server may take: a configuration of the largest size that operators may
	// send, and a small one.
	minBodyBytes = 33 << 20
)

// Run serves until parent is done, a server fails, or a stop signal has been handled. It returns once its loops have ended, but
// does not wait for a disk write that hangs.
func (n *Node) Run(parent context.Context, signals nodesettings.Signals) error {
	ctx, cancel := context.WithCancel(parent)
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	go n.acceptor.Run(ctx)
	peerListener, err := n.network.Listen(n.self)
	if err != nil {
		return errors.Wrapf(err, "internal address %s", n.self)
	}
	defer peerListener.Close()
	adminAddress := n.settings.BindAddresses.ControlPlane
	adminListener, err := n.network.Listen(adminAddress)
	if err != nil {
		return errors.Wrapf(err, "control plane address %s", adminAddress)
	}
	defer adminListener.Close()
	peerServer := &http.Server{Handler: n.limitBodies(n.peerRoutes()), IdleTimeout: idleTimeout}
	adminServer := &http.Server{
		Handler:           n.limitBodies(n.adminRoutes()),
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	failures := make(chan error, 2)
	framing := httpframing.Options{HeadTimeout: readHeaderTimeout}
	go func() { failures <- httpframing.Serve(peerServer, peerListener, framing) }()
	go func() { failures <- httpframing.Serve(adminServer, adminListener, framing) }()
	if err := n.subscribeEvents(ctx); err != nil {
		return err
	}
	defer n.bus.Close()
	n.startLoops(ctx, &loops, signals)
	n.logListening(adminListener)
	select {
	case <-parent.Done():
		return nil
	case err := <-failures:
		return err
	case <-signals.Stop:
		n.shutdown(adminServer, peerServer)
		return nil
	}
}

// limitBodies bounds the memory for the bodies of one server's requests and the time for reading each. Each server has a budget of
// its own, so that operators and other nodes can't push out one another.
func (n *Node) limitBodies(next http.Handler) http.Handler {
	limit := max(bodybudget.ShareOf(n.settings.Limits.MemoryMb, bodybudget.ControlPlaneShare), minBodyBytes)
	return bodybudget.Handler(next, bodybudget.New(limit), limit-1, bodyTimeout)
}

// startLoops starts the loops of the node's components, which run until ctx is done.
func (n *Node) startLoops(ctx context.Context, loops *sync.WaitGroup, signals nodesettings.Signals) {
	parts := []func(context.Context){
		n.applier.Run,
		n.members.Run,
		n.roster.Run,
		n.scheduler.Run,
		n.loadExchange.Run,
		n.drills.Run,
		n.fleetSize.Run,
		n.roles.Run,
		n.groupWatcher.Run,
		func(ctx context.Context) { n.watchSettings(ctx, signals) },
	}
	for _, run := range parts {
		loops.Go(func() { run(ctx) })
	}
}

// watchSettings reloads the settings at each hangup signal. Only changes of the seeds take effect in a running node.
func (n *Node) watchSettings(ctx context.Context, signals nodesettings.Signals) {
	nodesettings.Watch(ctx, n.settingsPath, "control", signals.Hangup, func(changed nodesettings.Settings) {
		n.members.AddPeers(changed.SeedPeers())
	})
}

func (n *Node) logListening(adminListener net.Listener) {
	logrus.WithFields(logrus.Fields{
		"control_plane": adminListener.Addr().String(),
		"peer":          n.self,
		"members":       n.store.Membership().Current,
	}).Info("control plane listening")
}
