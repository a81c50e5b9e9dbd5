package dataplane

import (
	"time"

	"github.com/sirupsen/logrus"
)

func (d *FleetState) lag(now time.Time, newest int64) {
	for _, held := range d.sources {
		if held.fresh && held.revision > newest {
			if d.behind.IsZero() {
				d.behind = now
			}
			return
		}
	}
	d.behind = time.Time{}
}

const behindPause = 150 * time.Millisecond

const distrustAfter = 1700 * time.Millisecond

func (d *FleetState) choose() {
	now := d.clock()
	current := *d.wants.primary.Load()
	newest := d.wants.revision.Load()
	usable := func(held *source) bool {
		patience := distrustAfter
		if held.aside {
			patience += longestHold * time.Millisecond / 2
		}
		return held.fresh && now.Sub(held.heardAt) < patience
	}
	d.lag(now, newest)
	best, bestRank := "", -1
	for address, held := range d.sources {
		if !usable(held) {
			continue
		}
		rank := 0
		if held.revision > newest && now.Sub(d.behind) > behindPause {
			rank += 4
		}
		if held.zone == d.settings.Zone {
			rank += 2
		}
		if address == current {
			rank++
		}
		if rank > bestRank {
			best, bestRank = address, rank
		}
	}
	if best != current {
		d.wants.primary.Store(&best)
		for _, address := range []string{current, best} {
			if held := d.sources[address]; held != nil {
				held.whole = false
			}
		}
		if best != "" {
			d.askAgain(best)
		}
		logrus.WithFields(logrus.Fields{"from": current, "to": best}).Info("parts are followed at another control daemon")
	}
}

const (
	uncounted  = 512
	countKept  = 10 * time.Second
	countFresh = 5 * time.Second
)

func (d *FleetState) count() int {
	now, most := d.clock(), 0
	for _, held := range d.sources {
		if now.Sub(held.heardAt) < countFresh {
			most = max(most, held.edges)
		}
	}
	if most >= d.counted || most > 0 && now.Sub(d.countedAt) > countKept {
		d.counted, d.countedAt = most, now
	}
	if d.counted == 0 {
		return uncounted
	}
	return d.counted
}

// sureCount is the number of data planes, without those that fell silent so long ago that what they lent of tenants'
// limits has ended. Where no control daemon has run for long enough to be sure of that, it is the one that is kept high,
// and 0 if none was ever told.
func (d *FleetState) sureCount() (count int, sure bool) {
	now, most := d.clock(), 0
	for _, held := range d.sources {
		if now.Sub(held.heardAt) < countFresh {
			most = max(most, held.edges, held.present)
			sure = sure || held.sure
		}
	}
	if d.count(); !sure {
		return max(d.counted, most), false
	}
	return most, true
}
