package heartbeat

import (
	"slices"
	"time"
)

// pauseDivisor sets the interval between two counts from which the registry's own process counts as having been paused:
// ExpireAfter divided by it.
const pauseDivisor = 8

// Heartbeat is what is known about one daemon from its reports and other contacts.
type Heartbeat struct {
	// ReportedAt is the time of the last complete report; LastSeen is the time of the last other contact.
	ReportedAt time.Time
	LastSeen   time.Time
	// FirstSeen is the time since which the daemon has been continuously in the registry.
	FirstSeen time.Time
	Zone      string
	// Revision is the revision of the configuration, and ZoneVersion the number of zone changes, that the daemon last
	// reported to have applied.
	Revision    int64
	ZoneVersion uint64
}

// lastContact returns the time of the last contact of any kind.
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

// Registry holds the heartbeat of each daemon until there has been no contact with it for ExpireAfter.
type Registry struct {
	ExpireAfter time.Duration
	heartbeats  map[string]Heartbeat
	countedAt   time.Time
}

// NewRegistry returns an empty registry whose entries expire after the given time without contact.
func NewRegistry(expireAfter time.Duration) *Registry {
	return &Registry{ExpireAfter: expireAfter, heartbeats: map[string]Heartbeat{}}
}

// Record stores the heartbeat of a daemon unless a later one is already known. It sets FirstSeen itself.
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

// RecordContact records a contact other than a report, such as another daemon's statement that the daemon is alive.
func (r *Registry) RecordContact(name string, now time.Time) {
	heartbeat, known := r.heartbeats[name]
	if !known {
		heartbeat.FirstSeen = now
	}
	heartbeat.LastSeen = now
	r.heartbeats[name] = heartbeat
}

// Live returns the sorted names of the daemons whose last report is no older than maxAge.
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

// Count removes the expired daemons and returns the number of remaining ones. If this process was paused since the last call,
// the expiry of all daemons is extended by that time: their heartbeats may be waiting unread, and removing healthy daemons
// would make the others take over their share of common limits.
func (r *Registry) Count(now time.Time) int {
	r.extendAfterPause(now)
	for name, heartbeat := range r.heartbeats {
		if r.isExpired(heartbeat, now) {
			delete(r.heartbeats, name)
		}
	}
	return len(r.heartbeats)
}

// extendAfterPause postpones the expiry of all daemons by the time since the last count, if that is so long that the process
// must have been paused.
func (r *Registry) extendAfterPause(now time.Time) {
	sinceCount := now.Sub(r.countedAt)
	if !r.countedAt.IsZero() && sinceCount > r.ExpireAfter/pauseDivisor {
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

// CountBehind returns how many of the daemons whose last report is no older than maxAge have applied an older configuration
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

// Zones returns the zone of each daemon that has not expired, by name.
func (r *Registry) Zones(now time.Time) map[string]string {
	zones := map[string]string{}
	for name, heartbeat := range r.heartbeats {
		if !r.isExpired(heartbeat, now) {
			zones[name] = heartbeat.Zone
		}
	}
	return zones
}

// FirstSeen returns the time since which the daemon has been in the registry, or the zero time if it is not.
func (r *Registry) FirstSeen(name string) time.Time { return r.heartbeats[name].FirstSeen }

// LastReport returns the time of the daemon's last report, or the zero time if there was none.
func (r *Registry) LastReport(name string) time.Time { return r.heartbeats[name].ReportedAt }
