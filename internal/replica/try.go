package replica

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

type try struct {
	lock    sync.Mutex
	session *watched
	reused  bool
	idle    time.Duration
	written int64
	read    int64
	wrote   bool
	bound   time.Duration
}

func (t *try) got(info httptrace.GotConnInfo) {
	session, known := info.Conn.(*watched)
	if !known {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	again := t.session != nil && t.session.written.Load() > t.written
	t.wrote = t.wrote || again
	t.session, t.reused, t.idle = session, info.Reused, info.IdleTime
	t.written, t.read = session.written.Load(), session.read.Load()
	if t.wrote || info.Reused && info.IdleTime > t.bound {
		session.retired.Store(true)
	}
}

func (t *try) untouched() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return !t.wrote && (t.session == nil || t.session.written.Load() == t.written)
}

func (t *try) unheard() (time.Duration, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.idle, t.session != nil && t.reused && t.session.read.Load() == t.read
}

func (t *try) stale() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.session != nil && t.reused
}

const freshTries = 2

func (f *Forwarder) Send(ctx context.Context, address, identity string, job Job) (*http.Response, Verdict) {
	for round := 0; ; round++ {
		one := &try{bound: f.idleBound(job.Service, job.Once)}
		order := f.compose(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: one.got}), address, identity, job)
		answer, err := f.to(identity, job.Sessions).RoundTrip(order)
		if err == nil {
			f.noteKeepAlive(job.Service, answer)
			verdict := judge(answer, job.Attempt, identity)
			if verdict != VerdictAnswered {
				go discard(answer)
			}
			return answer, verdict
		}
		if one.untouched() {
			if one.stale() && round < freshTries && ctx.Err() == nil {
				f.CloseIdle(identity)
				continue
			}
			return nil, VerdictUnreached
		}
		if idle, unheard := one.unheard(); unheard && ctx.Err() == nil && idle > leastIdleTime {
			f.died(job.Service, idle)
			f.CloseIdle(identity)
			return nil, VerdictReset
		}
		return nil, VerdictUnknown
	}
}

func (f *Forwarder) noteKeepAlive(service string, answer *http.Response) {
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			f.keepAlive(service, time.Duration(seconds)*time.Second)
		}
	}
}
