package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/match"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
	"ferryspar/internal/record"
)

type source struct {
	fresh     bool
	heardAt   time.Time
	revision  int64
	edges     int
	present   int
	sure      bool
	life      string
	parts     map[peer.PartName]peer.Part
	whole     bool
	number    uint64
	fetchedAt time.Time
	zone      string
	aside     bool
}

// FleetState owns what the data plane knows: configuration, evacuations, replicas, others' load. Its
// run loop merges what control daemons tell and swaps in a new match.Snapshot for the request path.
type FleetState struct {
	settings   nodesettings.Settings
	clock      func() time.Time
	fleet      *atomic.Pointer[match.Snapshot]
	wants      wants
	sources    map[string]*source
	zones      map[string]peer.ZoneState
	table      *configuration.Table
	outlook    chan peer.FleetLoad
	others     peer.FleetLoad
	othersAt   time.Time
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
	forget     func(func(*match.PrefixLedger))
	askAgain   func(address string)
	behind     time.Time
	counted    int
	countedAt  time.Time
	rehearsal  drillState
	currency   *currency
	quotas     *Quotas
}

// NewFleetState starts empty; notify is called after each swap.
func NewFleetState(settings nodesettings.Settings, clock func() time.Time, fleet *atomic.Pointer[match.Snapshot], notify func()) *FleetState {
	state := &FleetState{
		settings: settings, clock: clock, fleet: fleet, sources: map[string]*source{}, zones: map[string]peer.ZoneState{},
		outlook: make(chan peer.FleetLoad, 4), notify: notify, askAgain: func(string) {}, interest: NewInterest(clock), answers: make(chan answered, 4),
		currency: newCurrency(settings),
	}
	fleet.Store(&match.Snapshot{})
	nobody := ""
	state.wants.primary.Store(&nobody)
	state.wants.told.Store(&toldParts{})
	return state
}

func (d *FleetState) fill(poll *peer.Poll, address string) {
	poll.Revision = d.wants.revision.Load()
	poll.Proof = poll.Revision == 0
	if d.quotas != nil {
		d.quotas.fill(poll)
	}
	poll.ZoneNumber = d.wants.zones.Load()
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

// Ready says whether a configuration has been adopted. Any goroutine may call it.
func (d *FleetState) Ready() bool { return d.fleet.Load().Table != nil }

// Run merges news until the context ends.
func (d *FleetState) Run(ctx context.Context, listener *Listener) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-listener.news:
			if d.hear(one) {
				d.publish()
			}
			if !one.failed {
				d.currency.note(one.news, one.asked, d.wants.revision.Load(), one.news.Fresh(one.asked, one.at))
			}
			one.taken()
			if !one.failed {
				listener.Follow(ctx, one.news.Control)
			}
		case <-d.interest.wake:
			d.follow(ctx, listener.peers)
		case one := <-d.answers:
			if d.followed(one) {
				d.publish()
			}
			if d.wholeFrom(one.address) {
				d.follow(ctx, listener.peers)
			}
		case outlook := <-d.outlook:
			d.others, d.othersAt = outlook, d.clock()
			d.publish()
		case <-ticker.C:
			d.choose()
			d.overseeDrill()
			d.follow(ctx, listener.peers)
		}
	}
}

func (d *FleetState) hear(one heard) bool {
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
	news, fresh := one.news, one.news.Fresh(one.asked, one.at)
	held.fresh, held.heardAt, held.revision, held.edges, held.aside = fresh, one.at, news.Revision, news.Edges, one.aside
	changed := false
	if fresh && d.believable(news) {
		changed = d.adopt(news)
		d.heard.Store(&one.at)
		changed = d.rehearse(one) || changed
	}
	held.zone, held.present, held.sure = news.Zone, news.Present, news.EdgesSure
	if fresh && d.quotas != nil {
		count, sure := d.sureCount()
		d.quotas.hear(news, count, sure, one.asked)
	}
	d.choose()
	return d.hearParts(one.address, held, news, one.at, fresh) || changed
}

// believable says whether news may bring the first configuration of this life: only if contact
// with a majority was proven after this data plane asked. Later ones only ever rise.
func (d *FleetState) believable(news peer.News) bool {
	return news.Proven || d.wants.revision.Load() > 0
}

func (d *FleetState) adopt(news peer.News) bool {
	changed := false
	if len(news.Packed) > 0 && news.Revision > d.wants.revision.Load() {
		document, err := configuration.Decompress(news.Packed)
		if err != nil {
			logrus.WithError(err).Error("configuration from control daemon cannot be unpacked")
			return false
		}
		read, err := configuration.Decode(document)
		if err != nil {
			logrus.WithError(err).Error("configuration from control daemon cannot be read")
			return false
		}
		d.table = configuration.NewTable(read, nil)
		if d.quotas != nil {
			d.quotas.setLimits(read.Tenants)
		}
		d.wants.revision.Store(read.Revision)
		if d.Recorder != nil {
			d.Recorder.Write(record.Entry{Kind: record.KindConfiguration, AtMs: d.Recorder.Milliseconds(d.clock()), Packed: redacted(document)})
		}
		logrus.WithField("revision", read.Revision).Info("configuration adopted")
		changed = true
	}
	if news.Context != nil {
		d.adoptContext(*news.Context)
	}
	total := uint64(0)
	for zone, state := range news.Zones {
		if state.Number > d.zones[zone].Number {
			d.zones[zone] = state
			changed = true
			logrus.WithFields(logrus.Fields{"zone": zone, "drained": state.Drained}).Info("zone evacuation followed")
		}
	}
	for _, state := range d.zones {
		total += state.Number
	}
	d.wants.zones.Store(total)
	return changed
}

func (d *FleetState) publish() {
	fleet := &match.Snapshot{Table: d.table, DrainedZones: map[string]bool{}, DataPlanes: d.count(), ListedAt: d.shown, PeerLoads: d.others.Replicas, PeerLoadsAt: d.othersAt, PeerOutcomes: d.others.Total, Drill: d.rehearsal.drill}
	for zone, state := range d.zones {
		fleet.DrainedZones[zone] = state.Drained
	}
	fleet.Replicas = d.replicas
	d.fleet.Store(fleet)
	d.record(fleet)
	d.notify()
}
