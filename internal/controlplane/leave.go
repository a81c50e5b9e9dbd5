package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/membership"
	"ferryspar/internal/nodesettings"
)

const (
	// minLeaveDuration is the least that a leaving daemon stays, for its notice to go round.
	minLeaveDuration   = 400 * time.Millisecond
	leaveCheckInterval = 50 * time.Millisecond
	// exitMargin is kept of the time of grace for ending the servers and the process.
	exitMargin = 700 * time.Millisecond
	// releaseTimeout is how long giving up the lease may take.
	releaseTimeout = 2 * time.Second
	// shutdownTimeout is how long calls under way may take once the daemon is not needed.
	shutdownTimeout = 400 * time.Millisecond
)

// leave ends the daemon in order. It tells the others, gives up its lease, and goes on voting
// and answering until it is not needed: a successor has taken its place, or a quorum stays
// behind and nobody is there to succeed it; at most for the time of grace. Then calls under way
// are finished.
func (n *Node) shutdown(adminServer, peerServer *http.Server) {
	startedAt := n.clock()
	close(n.leaving)
	n.publisher.Update(func(*watch.Snapshot) bool { return true })
	logrus.Info("leaving")
	deadline := startedAt.Add(nodesettings.Seconds(n.settings.TimingBounds.GraceS) - exitMargin)
	select {
	case <-n.scheduler.released:
	case <-time.After(releaseTimeout):
	}
	for n.clock().Before(deadline) && (n.clock().Sub(startedAt) < minLeaveDuration || !membership.MayLeave(n.membershipView())) {
		time.Sleep(leaveCheckInterval)
	}
	n.shutdownServer(adminServer, deadline.Add(exitMargin/2))
	n.shutdownServer(peerServer, n.clock().Add(shutdownTimeout))
	logrus.WithFields(logrus.Fields{"took_ms": n.clock().Sub(startedAt).Milliseconds(), "members": n.store.Membership().Current}).Info("left")
}

// shut ends a server once its calls under way are answered, or at the time given.
func (n *Node) shutdownServer(server *http.Server, deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(deadline.Sub(n.clock()), changeTimeout+ackTimeout))
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
