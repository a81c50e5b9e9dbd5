package heartbeat

import (
	"slices"
	"time"
)

// pauseFraction is the part of the expiry time after which the registry's own process counts as having been
// paused.
const pauseFraction = 8

// Heartbeat is what is known of one daemon from its reports and other contacts.
type Heartbeat struct {
	// ReportedAt is the time of the last complete report, LastSeen that of the last other contact.
	ReportedAt time.Time
	LastSeen   time.Time
	// FirstSeen is the time since which the daemon has been in the registry without a gap.
	FirstSeen time.Time
	Zone      string
	// Revision is the configuration, and ZoneVersion the number of zone changes, that the daemon last
	// reported to apply.
	Revision    int64
	ZoneVersion uint64
}

// lastContact is the time of the last contact of any kind.
func (h Heartbeat) lastContact() time.Time {
	if h.ReportedAt.After(h.LastSeen) {
		return h.ReportedAt
	}
	return h.LastSeen
}

// isLive reports whether the last report is no older than maxAge.
func (h Heartbeat) isLive(now time.Time, maxAge time.Duration) bool {
	return now.Sub(h.ReportedAt) <= maxAge
}

// Registry keeps the heartbeat of each daemon until nothing was heard of it for ExpireAfter.
type Registry struct {
	ExpireAfter time.Duration
	heartbeats  map[string]Heartbeat
	countedAt   time.Time
}

// NewRegistry returns an empty registry whose daemons expire after the given time.
func NewRegistry(expireAfter time.Duration) *Registry {
	return &Registry{ExpireAfter: expireAfter, heartbeats: map[string]Heartbeat{}}
}

// Record keeps the heartbeat of a daemon, unless a later one is known already. FirstSeen is set by the registry.
func (r *Registry) Record(name string, heartbeat Heartbeat) {
	last, known := r.heartbeats[name]
	if known && heartbeat.ReportedAt.Before(last.ReportedAt) {
		return
	}
	heartbeat.FirstSeen = heartbeat.ReportedAt
	if known {
		heartbeat.FirstSeen = last.FirstSeen
	}
	r.heartbeats[name] = heartbeat
}

// RecordContact records a contact with a daemon that carried no report, such as a report by another daemon.
func (r *Registry) RecordContact(name string, now time.Time) {
	heartbeat, known := r.heartbeats[name]
	if !known {
		heartbeat.FirstSeen = now
	}
	heartbeat.LastSeen = now
	r.heartbeats[name] = heartbeat
}

// Live returns the names, sorted, of the daemons whose last report is no older than maxAge.
func (r *Registry) Live(now time.Time, maxAge time.Duration) []string {
	var live []string
	for name, heartbeat := range r.heartbeats {
		if heartbeat.isLive(now, maxAge) {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// Count returns the number of known daemons, after dropping the expired ones. If this process was paused since the
// last call, all daemons get that time on top: their heartbeats may lie unread, and dropping healthy daemons
// would have the others take over their part of shared limits.
func (r *Registry) Count(now time.Time) int {
	r.excusePause(now)
	for name, heartbeat := range r.heartbeats {
		if r.isExpired(heartbeat, now) {
			delete(r.heartbeats, name)
		}
	}
	return len(r.heartbeats)
}

// excusePause postpones the expiry of all daemons by the time since the last count, if that was so long that the
// process must have been paused.
func (r *Registry) excusePause(now time.Time) {
	sinceCount := now.Sub(r.countedAt)
	if !r.countedAt.IsZero() && sinceCount > r.ExpireAfter/pauseFraction {
		for name, heartbeat := range r.heartbeats {
			heartbeat.LastSeen = heartbeat.lastContact().Add(sinceCount)
			r.heartbeats[name] = heartbeat
		}
	}
	r.countedAt = now
}

func (r *Registry) isExpired(heartbeat Heartbeat, now time.Time) bool {
	return now.Sub(heartbeat.lastContact()) > r.ExpireAfter
}

// CountBehind returns how many of the daemons whose last report is no older than maxAge apply an older configuration
// than revision or fewer zone changes than zoneVersion.
func (r *Registry) CountBehind(now time.Time, maxAge time.Duration, revision int64, zoneVersion uint64) int {
	behind := 0
	for _, heartbeat := range r.heartbeats {
		isBehind := heartbeat.Revision < revision || heartbeat.ZoneVersion < zoneVersion
		if isBehind && heartbeat.isLive(now, maxAge) {
			behind++
		}
	}
	return behind
}

// Zones returns the zone of each daemon that hasn't expired, by name.
func (r *Registry) Zones(now time.Time) map[string]string {
	zones := map[string]string{}
	for name, heartbeat := range r.heartbeats {
		if !r.isExpired(heartbeat, now) {
			zones[name] = heartbeat.Zone
		}
	}
	return zones
}

// FirstSeen returns the time since which the daemon has been in the registry, zero if it isn't.
func (r *Registry) FirstSeen(name string) time.Time { return r.heartbeats[name].FirstSeen }

// LastReport returns the time of the daemon's last report, zero if there was none.
func (r *Registry) LastReport(name string) time.Time { return r.heartbeats[name].ReportedAt }
