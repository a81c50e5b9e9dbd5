package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/keystore"
	"ferryspar/internal/partner"
	"ferryspar/internal/problem"
	"ferryspar/internal/retention"
	"ferryspar/internal/watch"
)

func answer[Question, Answer any](handle func(ctx context.Context, question Question) Answer) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var question Question
		if err := json.NewDecoder(request.Body).Decode(&question); err != nil {
			problem.Write(writer, problem.New(problem.MalformedOrder, "%s", err.Error()))
			return
		}
		content, err := json.Marshal(handle(request.Context(), question))
		if err != nil {
			problem.Write(writer, err)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content)
	}
}

func (d *Daemon) partnerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post(partner.Calls["keystore"].Path, answer(d.hearKeystore))
	router.Post(partner.Calls["learn"].Path, answer(d.hearLearned))
	router.Post(partner.Calls["news"].Path, answer(d.hearPoll))
	router.Post(partner.Calls["pressure"].Path, answer(d.hearPressure))
	router.Post(partner.Calls["follow"].Path, answer(d.hearFollow))
	router.Post(partner.Calls["sums"].Path, answer(d.hearSums))
	router.Post(partner.Calls["roster"].Path, answer(d.hearRoster))
	router.Post(partner.Calls["greet"].Path, answer(d.hearGreeting))
	router.Post(partner.Calls["forecast"].Path, answer(d.hearForecast))
	router.Post(partner.Calls["plan"].Path, answer(d.hearPlan))
	return router
}

func (d *Daemon) hearKeystore(ctx context.Context, message keystore.Message) keystore.Reply {
	reply, err := d.acceptor.Call(ctx, message)
	if err != nil {
		return keystore.Reply{Reason: err.Error()}
	}
	return reply
}

func (d *Daemon) hearLearned(ctx context.Context, learned partner.Learned) struct{} {
	d.learn(ctx, learned.Slot)
	return struct{}{}
}

func (d *Daemon) hearPoll(ctx context.Context, poll partner.Poll) partner.News {
	d.watching.Lock()
	d.edges.Note(poll.Daemon, watch.Beat{At: d.clock(), Area: poll.Area, Revision: poll.Revision, Areas: poll.AreaNumber})
	d.remembered[poll.Daemon] = retention.EdgeView{Applied: poll.Forgot, Left: poll.Leaving}
	d.watching.Unlock()
	if poll.Drill != nil {
		d.noteReport(poll.Daemon, *poll.Drill)
	}
	hold := time.NewTimer(time.Duration(min(max(poll.HoldMs, 1), 2000)) * time.Millisecond)
	defer hold.Stop()
	var woken <-chan struct{}
	if poll.Wants {
		woken = d.parts.wakes(poll.Daemon)
	} else {
		d.sums.Leave(poll.Daemon)
	}
	for {
		bulletin := d.board.Read()
		news, answers := d.news(bulletin, poll)
		if answers {
			return news
		}
		select {
		case <-bulletin.changed:
		case <-woken:
		case <-hold.C:
			news, _ = d.news(d.board.Read(), poll)
			return news
		case <-ctx.Done():
			return partner.News{}
		}
	}
}

func (d *Daemon) news(bulletin *Bulletin, poll partner.Poll) (partner.News, bool) {
	now := d.clock()
	news := bulletin.News(poll, d.self, d.settings.Area, d.life, now)
	answers := bulletin.Answers(poll, d.life)
	if poll.Wants && bulletin.Fresh {
		news.Parts, news.Roster, news.Refollow = d.parts.News(poll, d.life, now)
		answers = answers || len(news.Parts) > 0 || news.Refollow
	}
	return news, answers
}
