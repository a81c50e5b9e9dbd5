package match

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/drill"
)

type Drill struct {
	Number    uint64
	covers    Covers
	share     float64
	began     time.Time
	silence   time.Duration
	until     atomic.Pointer[time.Time]
	touched   atomic.Pointer[time.Time]
	elsewhere func(m *Matcher, order *Order, now time.Time) bool
	lock      sync.Mutex
	routes    map[string]*drive
	told      *drill.Report
	toldAt    time.Time
}

type drive struct {
	counted            drill.EdgeDrive
	firstRest, firstIn *hdrhistogram.Histogram
}

func NewDrill(notice drill.Notice, now time.Time, silence time.Duration) *Drill {
	active := &Drill{
		Number: notice.Number, covers: notice.Scope.Covers, share: notice.Share, began: now, silence: silence, elsewhere: (*Matcher).elsewhere, routes: map[string]*drive{},
	}
	until := now.Add(min(time.Duration(notice.LeftMs)*time.Millisecond, drill.Longest))
	active.until.Store(&until)
	active.touched.Store(&now)
	return active
}

func (d *Drill) Touch(now time.Time, left time.Duration) {
	if until := now.Add(left); until.Before(*d.until.Load()) {
		d.until.Store(&until)
	}
	d.touched.Store(&now)
}

func (d *Drill) Over(now time.Time) string {
	if !now.Before(*d.until.Load()) {
		return drill.TimeUp
	}
	if now.Sub(*d.touched.Load()) >= d.silence {
		return drill.OutOfTouch
	}
	return ""
}

func (d *Drill) picks(attempt string) bool {
	sum := sha256.Sum256([]byte(attempt))
	return float64(binary.BigEndian.Uint32(sum[:])) < d.share*(1<<32)
}

func (d *Drill) mark(order *Order, now time.Time) {
	if order.Arrived.Before(d.began) || d.Over(now) != "" {
		return
	}
	order.drill, order.drilled = d, d.picks(order.Attempt)
}

const sparedShare = 10

func (d *Drill) lost(m *Matcher, order *Order, now time.Time) Covers {
	if d == nil || !order.drilled {
		return nil
	}
	if d.Over(now) != "" {
		order.drilled, order.drill = false, nil
		return nil
	}
	if order.alone = !d.elsewhere(m, order, now); order.alone {
		return nil
	}
	if now.Sub(order.Arrived) > order.goal()/sparedShare {
		order.drilled = false
		d.count(order, func(one *drive) { one.counted.Drilled.Spared++ })
		order.drill = nil
		return nil
	}
	return d.covers
}

func (d *Drill) sent(order *Order, replica *Replica) {
	if order.drilled && order.alone && d.covers(replica.Area, replica.Region) {
		order.drilled = false
		d.count(order, func(one *drive) { one.counted.Kept++ })
	}
}

func (m *Matcher) elsewhere(order *Order, now time.Time) bool {
	for _, position := range order.holdersIn(m.index) {
		place := &m.market.columns[m.market.columnAt[position]]
		if !order.drill.covers(place.replica.Area, place.replica.Region) && m.candidate(order, place, now) && !place.held.suspected(now) {
			return true
		}
	}
	return false
}

func (d *Drill) count(order *Order, change func(one *drive)) {
	d.lock.Lock()
	defer d.lock.Unlock()
	one := d.routes[order.Route]
	if one == nil {
		one = &drive{firstRest: drill.NewSpread(), firstIn: drill.NewSpread()}
		d.routes[order.Route] = one
	}
	change(one)
}

func (d *Drill) side(one *drive, order *Order) (*drill.Tally, *hdrhistogram.Histogram) {
	if order.drilled && !order.alone {
		return &one.counted.Drilled, one.firstIn
	}
	return &one.counted.Rest, one.firstRest
}

func (d *Drill) first(order *Order, at time.Time) {
	if order.Resumed {
		return
	}
	d.count(order, func(one *drive) {
		tally, spread := d.side(one, order)
		took := at.Sub(order.Arrived)
		drill.Note(spread, float64(took.Microseconds())/1000)
		if took <= order.goal() {
			tally.InAim++
		} else {
			tally.Late++
		}
	})
}

func (o *Order) goal() time.Duration {
	if o.Aim > 0 {
		return o.Aim
	}
	return o.Deadline.Sub(o.Arrived)
}

func (d *Drill) refused(order *Order) {
	d.count(order, func(one *drive) {
		tally, _ := d.side(one, order)
		tally.Refused++
	})
}

func (d *Drill) broken(order *Order) {
	d.count(order, func(one *drive) {
		tally, _ := d.side(one, order)
		tally.Broken++
	})
}

const toldLife = 400 * time.Millisecond

func (d *Drill) Report(ended string, now time.Time) *drill.Report {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.told != nil && d.told.Ended == ended && now.Sub(d.toldAt) < toldLife {
		return d.told
	}
	report := &drill.Report{Number: d.Number, Ended: ended, Routes: map[string]drill.EdgeDrive{}}
	for name, one := range d.routes {
		told := one.counted
		told.FirstDrilled, told.FirstRest = drill.Pack(one.firstIn), drill.Pack(one.firstRest)
		report.Routes[name] = told
	}
	d.told, d.toldAt = report, now
	return report
}
