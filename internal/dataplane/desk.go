package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/env"
	"ferryspar/internal/layout"
	"ferryspar/internal/match"
	"ferryspar/internal/partner"
	"ferryspar/internal/platform"
	"ferryspar/internal/record"
)

type source struct {
	fresh     bool
	heardAt   time.Time
	revision  int64
	edges     int
	holder    string
	life      string
	parts     map[partner.PartName]partner.Part
	whole     bool
	number    uint64
	fetchedAt time.Time
	area      string
	aside     bool
}

type Desk struct {
	settings   env.Settings
	clock      func() time.Time
	fleet      *atomic.Pointer[match.Fleet]
	wants      wants
	sources    map[string]*source
	areas      map[string]partner.AreaState
	table      *layout.Table
	outlook    chan partner.Outlook
	others     partner.Outlook
	othersAt   time.Time
	holder     atomic.Pointer[string]
	notify     func()
	shown      time.Time
	usedFrom   string
	interest   *Interest
	asking     bool
	answers    chan answered
	listed     []platform.Replica
	replicas   []*match.Replica
	told       uint64
	lastForget uint64
	Recorder   *record.Writer
	heard      atomic.Pointer[time.Time]
	guarded    atomic.Bool
	forget     func(func(*match.Ledger))
	askAgain   func(address string)
	behind     time.Time
	counted    int
	countedAt  time.Time
	rehearsal  rehearsal
}

func NewDesk(settings env.Settings, clock func() time.Time, fleet *atomic.Pointer[match.Fleet], notify func()) *Desk {
	desk := &Desk{
		settings: settings, clock: clock, fleet: fleet, sources: map[string]*source{}, areas: map[string]partner.AreaState{},
		outlook: make(chan partner.Outlook, 4), notify: notify, askAgain: func(string) {}, interest: NewInterest(clock), answers: make(chan answered, 4),
	}
	fleet.Store(&match.Fleet{})
	nobody := ""
	desk.holder.Store(&nobody)
	desk.wants.primary.Store(&nobody)
	desk.wants.told.Store(&toldParts{})
	return desk
}

func (d *Desk) fill(poll *partner.Poll, address string) {
	poll.Revision = d.wants.revision.Load()
	poll.AreaNumber = d.wants.areas.Load()
	poll.Context, poll.Forgot = d.wants.context.Load(), d.wants.forgot.Load()
	poll.Leaving, poll.Drill = d.wants.leaving.Load(), d.rehearsal.report(d.clock())
	primary := *d.wants.primary.Load()
	poll.Wants = primary == "" || primary == address
	poll.Follows = 0
	if told := d.wants.told.Load(); told.address == address {
		poll.Follows = told.number
		if told.life == poll.Life {
			poll.Roster = max(poll.Roster, told.roster)
		}
	}
}

func (d *Desk) Ready() bool { return d.fleet.Load().Table != nil }

func (d *Desk) Holder() string { return *d.holder.Load() }

func (d *Desk) Run(ctx context.Context, listener *Listener) {
	schedule := time.NewTicker(100 * time.Millisecond)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-listener.news:
			if d.hear(one) {
				d.publish()
			}
			one.taken()
			if !one.failed {
				listener.Follow(ctx, one.news.Control)
			}
		case <-d.interest.wake:
			d.follow(ctx, listener.session)
		case one := <-d.answers:
			if d.followed(one) {
				d.publish()
			}
			if d.wholeFrom(one.address) {
				d.follow(ctx, listener.session)
			}
		case outlook := <-d.outlook:
			d.others, d.othersAt = outlook, d.clock()
			d.publish()
		case <-schedule.C:
			d.choose()
			d.overseeDrill()
			d.follow(ctx, listener.session)
		}
	}
}

func (d *Desk) hear(one heard) bool {
	held := d.sources[one.address]
	if held == nil {
		held = &source{}
		d.sources[one.address] = held
	}
	if one.failed {
		held.fresh = false
		d.choose()
		return false
	}
	news := one.news
	held.fresh, held.heardAt, held.revision, held.edges, held.aside = news.Fresh, one.at, news.Revision, news.Edges, one.aside
	if news.Holder != "" && news.Fresh {
		d.holder.Store(&news.Holder)
	}
	changed := false
	if news.Fresh {
		changed = d.adopt(news)
		d.heard.Store(&one.at)
		changed = d.rehearse(one) || changed
	}
	held.area = news.Area
	d.choose()
	return d.hearParts(one.address, held, news, one.at) || changed
}

func (d *Desk) adopt(news partner.News) bool {
	changed := false
	if len(news.Packed) > 0 && news.Revision > d.wants.revision.Load() {
		document, err := layout.Unpack(news.Packed)
		if err != nil {
			logrus.WithError(err).Error("layout from control daemon cannot be unpacked")
			return false
		}
		read, err := layout.Decode(document)
		if err != nil {
			logrus.WithError(err).Error("layout from control daemon cannot be read")
			return false
		}
		d.table = layout.Build(read, nil)
		d.wants.revision.Store(read.Revision)
		if d.Recorder != nil {
			d.Recorder.Put(record.Entry{Kind: record.KindLayout, AtMs: d.Recorder.Milliseconds(d.clock()), Packed: news.Packed})
		}
		logrus.WithField("revision", read.Revision).Info("layout adopted")
		changed = true
	}
	if news.Context != nil {
		d.adoptContext(*news.Context)
	}
	total := uint64(0)
	for area, state := range news.Areas {
		if state.Number > d.areas[area].Number {
			d.areas[area] = state
			changed = true
			logrus.WithFields(logrus.Fields{"zone": area, "drained": state.Drained}).Info("zone evacuation followed")
		}
	}
	for _, state := range d.areas {
		total += state.Number
	}
	d.wants.areas.Store(total)
	return changed
}

func (d *Desk) publish() {
	fleet := &match.Fleet{Table: d.table, Drained: map[string]bool{}, Edges: d.count(), Fetched: d.shown, Others: d.others.Replicas, OthersAt: d.othersAt, Total: d.others.Total, Drill: d.rehearsal.drill}
	for area, state := range d.areas {
		fleet.Drained[area] = state.Drained
	}
	fleet.Replicas = d.replicas
	d.fleet.Store(fleet)
	d.record(fleet)
	d.notify()
}
