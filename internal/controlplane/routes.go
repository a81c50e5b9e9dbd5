package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/operator"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

func (d *Daemon) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.Methods["keystore"].Path, peer.Handler(d.hearKeystore))
	router.Post(peer.Methods["learn"].Path, peer.Handler(d.hearLearned))
	router.Post(peer.Methods["news"].Path, peer.Handler(d.hearPoll))
	router.Post(peer.Methods["pressure"].Path, peer.Handler(d.handleLoadReport))
	router.Post(peer.Methods["follow"].Path, peer.Handler(d.handleSubscribe))
	router.Post(peer.Methods["sums"].Path, peer.Handler(d.handleLoadSummary))
	router.Post(peer.Methods["roster"].Path, peer.Handler(d.hearRoster))
	router.Post(peer.Methods["greet"].Path, peer.Handler(d.hearGreeting))
	router.Post(peer.Methods["forecast"].Path, peer.Handler(d.hearForecast))
	router.Post(peer.Methods["plan"].Path, peer.Handler(d.hearPlan))
	return router
}

func (d *Daemon) hearKeystore(ctx context.Context, message keystore.Message) keystore.Reply {
	reply, err := d.acceptor.Call(ctx, message)
	if err != nil {
		return keystore.Reply{Rejection: keystore.RejectedUnreachable}
	}
	return reply
}

func (d *Daemon) hearLearned(ctx context.Context, learned peer.KeyUpdate) struct{} {
	d.learn(ctx, learned.Register)
	return struct{}{}
}

// hearPoll answers a data plane's poll once there is something that it was not told, or after
// the time for which it may be held. A poll that asks for a proof is answered with one.
func (d *Daemon) hearPoll(ctx context.Context, poll peer.WatchRequest) peer.WatchResponse {
	came := d.clock()
	d.notePoll(poll, came)
	hold := time.NewTimer(time.Duration(min(max(poll.MaxWaitMs, 1), longestHoldMs)) * time.Millisecond)
	defer hold.Stop()
	var woken <-chan struct{}
	if poll.Primary {
		woken = d.parts.wakeChannel(poll.DataPlane)
	} else {
		d.sums.RemoveReport(poll.DataPlane)
	}
	if poll.Linearizable {
		d.confirmer.Soon()
	}
	for {
		snapshot := d.publisher.Current()
		news, answers := d.news(snapshot, poll, came)
		if answers {
			return news
		}
		select {
		case <-snapshot.changed:
		case <-proofOf(snapshot, poll):
		case <-woken:
		case <-hold.C:
			news, _ = d.news(d.publisher.Current(), poll, came)
			return news
		case <-ctx.Done():
			return peer.WatchResponse{}
		}
	}
}

const longestHoldMs = 2000

// proofOf is closed at the next confirmation, for polls that wait for one.
func proofOf(snapshot *Snapshot, poll peer.WatchRequest) <-chan struct{} {
	if poll.Linearizable {
		return snapshot.confirmed
	}
	return nil
}

func (d *Daemon) notePoll(poll peer.WatchRequest, came time.Time) {
	d.watching.Lock()
	d.edges.Record(poll.DataPlane, heartbeat.Heartbeat{ReportedAt: came, Zone: poll.Zone, Revision: poll.Revision, ZoneChanges: poll.ZoneVersion})
	d.remembered[poll.DataPlane] = retention.DataPlaneView{Applied: poll.AppliedForget, Left: poll.Leaving}
	if poll.Address != "" {
		d.neighbours[poll.DataPlane] = poll.Address
	}
	d.watching.Unlock()
	if poll.Drill != nil {
		d.noteReport(poll.DataPlane, *poll.Drill)
	}
}

// news composes the answer to a poll that came at the time given, and says whether it must not
// be held any longer. A daemon that leaves tells nothing as confirmed: data planes then follow
// another one while this one is still there.
func (d *Daemon) news(snapshot *Snapshot, poll peer.WatchRequest, came time.Time) (peer.WatchResponse, bool) {
	now := d.clock()
	news := snapshot.Response(poll, d.self, d.settings.Zone, d.life, now)
	answers := snapshot.HasUpdateFor(poll, d.life, now)
	if poll.Primary && news.FreshMs > 0 {
		news.EndpointSets, news.RosterVersion, news.Resubscribe = d.parts.Changes(poll, d.life, now)
		answers = answers || len(news.EndpointSets) > 0 || news.Resubscribe
	}
	news.WaitedMs = now.Sub(came).Milliseconds()
	if poll.Linearizable {
		news.Linearizable = snapshot.ConfirmedAt.After(came)
		answers = news.Linearizable
	}
	if news.FreshMs > 0 {
		d.watching.Lock()
		if since := d.edges.FirstSeen(poll.DataPlane); !since.IsZero() {
			news.CountedForMs = now.Sub(since).Milliseconds()
		}
		news.CountReliable = now.Sub(d.started) > d.edges.ExpireAfter
		d.watching.Unlock()
	}
	if d.isLeaving() {
		news.FreshMs, news.Linearizable = 0, false
	}
	return news, answers
}

func (d *Daemon) operatorRoutes() http.Handler {
	return operator.Routes(d, operator.NewGuard(d.settings.BindAddresses.ControlPlane, d.clock))
}
