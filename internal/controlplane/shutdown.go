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
	// exitMargin is kept of the grace period for ending the servers and the process.
	exitMargin = 700 * time.Millisecond
	// releaseTimeout is how long giving up the lease may take.
	releaseTimeout = 2 * time.Second
	// shutdownTimeout is how long calls in flight may take once the node is not needed.
	shutdownTimeout = 400 * time.Millisecond
)

// shutdown ends the node in order. It notifies the others, releases its lease, and goes on voting and
// answering until the control plane can do without it, at most for the grace period. Then calls in
// flight are finished.
func (n *Node) shutdown(adminServer, peerServer *http.Server) {
	startedAt := n.clock()
	deadline := startedAt.Add(nodesettings.Seconds(n.settings.TimingBounds.GraceS) - exitMargin)
	n.members.StartLeaving()
	n.publisher.Update(func(*watch.Snapshot) bool { return true })
	logrus.Info("leaving")
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
	}).Info("left")
}

// shutdownServer ends a server once its calls in flight are answered, or at the deadline.
func (n *Node) shutdownServer(server *http.Server, deadline time.Time) {
	timeout := min(deadline.Sub(n.clock()), changeTimeout+ackTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
