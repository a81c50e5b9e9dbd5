package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/nodesettings"
)

const (
	// exitMargin is the part of the grace period that is reserved for stopping the servers and the process.
	exitMargin = 700 * time.Millisecond
	// releaseTimeout bounds releasing the lease.
	releaseTimeout = 2 * time.Second
	// shutdownTimeout is how long calls in flight may take once it is safe to stop the node.
	shutdownTimeout = 400 * time.Millisecond
)

// shutdown stops the node gracefully. The node notifies the others, releases its lease, and continues to vote and to answer until
// the control plane does not need it, but no longer than the grace period. Then it finishes calls in flight.
func (n *Node) shutdown(adminServer, peerServer *http.Server) {
	startedAt := n.clock()
	deadline := startedAt.Add(nodesettings.Seconds(n.settings.TimingBounds.GraceS) - exitMargin)
	n.members.StartLeaving()
	n.publisher.Update(func(*watch.Snapshot) bool { return true })
	logrus.Info("leaving the control plane")
	select {
	case <-n.scheduler.Lease().Released():
	case <-time.After(releaseTimeout):
	}
	n.members.AwaitSafeToStop(startedAt, deadline)
	n.shutdownServer(adminServer, deadline.Add(exitMargin/2))
	n.shutdownServer(peerServer, n.clock().Add(shutdownTimeout))
	logrus.WithFields(logrus.Fields{
		"duration_ms": n.clock().Sub(startedAt).Milliseconds(),
		"members":     n.store.Membership().Current,
	}).Info("left the control plane")
}

// shutdownServer stops a server once its calls in flight are answered, or at the deadline.
func (n *Node) shutdownServer(server *http.Server, deadline time.Time) {
	timeout := min(deadline.Sub(n.clock()), changeTimeout+ackTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
