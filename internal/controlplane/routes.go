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
	router.Post(peer.Calls["keystore"].Path, peer.Answer(d.hearKeystore))
	router.Post(peer.Calls["learn"].Path, peer.Answer(d.hearLearned))
	router.Post(peer.Calls["news"].Path, peer.Answer(d.hearPoll))
	router.Post(peer.Calls["pressure"].Path, peer.Answer(d.hearLoad))
	router.Post(peer.Calls["follow"].Path, peer.Answer(d.hearFollow))
	router.Post(peer.Calls["sums"].Path, peer.Answer(d.hearSums))
	router.Post(peer.Calls["roster"].Path, peer.Answer(d.hearRoster))
	router.Post(peer.Calls["greet"].Path, peer.Answer(d.hearGreeting))
	router.Post(peer.Calls["forecast"].Path, peer.Answer(d.hearForecast))
	router.Post(peer.Calls["plan"].Path, peer.Answer(d.hearPlan))
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
	d.learn(ctx, learned.Slot)
	return struct{}{}
}

// hearPoll answers a data plane's poll once there is something that it was not told, or after
// the time for which it may be held. A poll that asks for a proof is answered with one.
func (d *Daemon) hearPoll(ctx context.Context, poll peer.Poll) peer.News {
	came := d.clock()
	d.notePoll(poll, came)
	hold := time.NewTimer(time.Duration(min(max(poll.HoldMs, 1), longestHoldMs)) * time.Millisecond)
	defer hold.Stop()
	var woken <-chan struct{}
	if poll.Wants {
		woken = d.parts.wakes(poll.Daemon)
	} else {
		d.sums.Leave(poll.Daemon)
	}
	if poll.Proof {
		d.confirmer.Soon()
	}
	for {
		snapshot := d.publisher.Read()
		news, answers := d.news(snapshot, poll, came)
		if answers {
			return news
		}
		select {
		case <-snapshot.changed:
		case <-proofOf(snapshot, poll):
		case <-woken:
		case <-hold.C:
			news, _ = d.news(d.publisher.Read(), poll, came)
			return news
		case <-ctx.Done():
			return peer.News{}
		}
	}
}

const longestHoldMs = 2000

// proofOf is closed at the next confirmation, for polls that wait for one.
func proofOf(snapshot *Snapshot, poll peer.Poll) <-chan struct{} {
	if poll.Proof {
		return snapshot.confirmed
	}
	return nil
}

func (d *Daemon) notePoll(poll peer.Poll, came time.Time) {
	d.watching.Lock()
	d.edges.Record(poll.Daemon, heartbeat.Heartbeat{ReportedAt: came, Zone: poll.Zone, Revision: poll.Revision, ZoneChanges: poll.ZoneNumber})
	d.remembered[poll.Daemon] = retention.DataPlaneView{Applied: poll.Forgot, Left: poll.Leaving}
	if poll.Address != "" {
		d.neighbours[poll.Daemon] = poll.Address
	}
	d.watching.Unlock()
	if poll.Drill != nil {
		d.noteReport(poll.Daemon, *poll.Drill)
	}
}

// news composes the answer to a poll that came at the time given, and says whether it must not
// be held any longer. A daemon that leaves tells nothing as confirmed: data planes then follow
// another one while this one is still there.
func (d *Daemon) news(snapshot *Snapshot, poll peer.Poll, came time.Time) (peer.News, bool) {
	now := d.clock()
	news := snapshot.News(poll, d.self, d.settings.Zone, d.life, now)
	answers := snapshot.Answers(poll, d.life, now)
	if poll.Wants && news.FreshMs > 0 {
		news.Parts, news.Roster, news.Refollow = d.parts.News(poll, d.life, now)
		answers = answers || len(news.Parts) > 0 || news.Refollow
	}
	news.HeldMs = now.Sub(came).Milliseconds()
	if poll.Proof {
		news.Proven = snapshot.ConfirmedAt.After(came)
		answers = news.Proven
	}
	if news.FreshMs > 0 {
		d.watching.Lock()
		if since := d.edges.FirstSeen(poll.Daemon); !since.IsZero() {
			news.CountedMs = now.Sub(since).Milliseconds()
		}
		news.EdgesSure = now.Sub(d.started) > d.edges.ExpireAfter
		d.watching.Unlock()
	}
	if d.isLeaving() {
		news.FreshMs, news.Proven = 0, false
	}
	return news, answers
}

func (d *Daemon) operatorRoutes() http.Handler {
	return operator.Routes(d, operator.NewGuard(d.settings.BindAddresses.ControlPlane, d.clock))
}
