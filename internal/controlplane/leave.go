package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/membership"
	"ferryspar/internal/nodesettings"
)

const (
	// noticeTime is the least that a leaving daemon stays, for its notice to go round.
	noticeTime = 400 * time.Millisecond
	leaveLook  = 50 * time.Millisecond
	// endMargin is kept of the time of grace for ending the servers and the process.
	endMargin = 700 * time.Millisecond
	// releaseBound is how long giving up the lease may take.
	releaseBound = 2 * time.Second
	// shutdownBound is how long calls under way may take once the daemon is not needed.
	shutdownBound = 400 * time.Millisecond
)

// leave ends the daemon in order. It tells the others, gives up its lease, and goes on voting
// and answering until it is not needed: a successor has taken its place, or a quorum stays
// behind and nobody is there to succeed it; at most for the time of grace. Then calls under way
// are finished.
func (d *Daemon) leave(operators, peers *http.Server) {
	began := d.clock()
	close(d.leaving)
	d.publisher.Update(func(*Snapshot) bool { return true })
	logrus.Info("leaving")
	until := began.Add(nodesettings.Seconds(d.settings.TimingBounds.GraceS) - endMargin)
	select {
	case <-d.scheduler.released:
	case <-time.After(releaseBound):
	}
	for d.clock().Before(until) && (d.clock().Sub(began) < noticeTime || !membership.MayLeave(d.membershipView())) {
		time.Sleep(leaveLook)
	}
	d.shut(operators, until.Add(endMargin/2))
	d.shut(peers, d.clock().Add(shutdownBound))
	logrus.WithFields(logrus.Fields{"took_ms": d.clock().Sub(began).Milliseconds(), "members": d.store.Membership().Current}).Info("left")
}

// shut ends a server once its calls under way are answered, or at the time given.
func (d *Daemon) shut(server *http.Server, until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(until.Sub(d.clock()), changeBound+ackBound))
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
