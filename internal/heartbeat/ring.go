// Package heartbeat keeps who was heard of lately, and names the members of a ring that watch a
// daemon.
//
// It sends nothing and reads no clock: callers pass the time, all of it from one steady clock. It
// isn't safe for concurrent use. Start reading at Register.
package heartbeat

import (
	"hash/fnv"
	"sort"
	"time"
)

func ringPosition(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// Watchers returns up to amount daemons that watch name: those that follow it on a ring of hashed
// names.
func Watchers(name string, daemons []string, amount int) []string {
	ordered := make([]string, 0, len(daemons))
	for _, daemon := range daemons {
		if daemon != name {
			ordered = append(ordered, daemon)
		}
	}
	sort.Slice(ordered, func(left, right int) bool { return ringPosition(ordered[left]) < ringPosition(ordered[right]) })
	own := ringPosition(name)
	start := sort.Search(len(ordered), func(index int) bool { return ringPosition(ordered[index]) >= own })
	var watchers []string
	for index := 0; index < len(ordered) && index < amount; index++ {
		watchers = append(watchers, ordered[(start+index)%len(ordered)])
	}
	return watchers
}

// Heartbeat is the last sign of life of one daemon. At is its last complete report, Heard the last
// contact of any kind, Since the first of those without a gap of a lifetime, Revision and Zones the configuration and the number of zone changes that it
// said it applies.
type Heartbeat struct {
	ReportedAt  time.Time
	LastSeen    time.Time
	FirstSeen   time.Time
	Zone        string
	Revision    int64
	ZoneChanges uint64
}

// Registry keeps the last Heartbeat of each daemon. Daemons without a sign for Life are forgotten by
// Counted.
type Registry struct {
	ExpireAfter   time.Duration
	heartbeats    map[string]Heartbeat
	lastCountedAt time.Time
}

// NewRegistry returns an empty register that forgets after life.
func NewRegistry(expireAfter time.Duration) *Registry {
	return &Registry{ExpireAfter: expireAfter, heartbeats: map[string]Heartbeat{}}
}

// Record keeps beat for name, unless a later one is kept already.
func (s *Registry) Record(name string, heartbeat Heartbeat) {
	last, known := s.heartbeats[name]
	if known && heartbeat.ReportedAt.Before(last.ReportedAt) {
		return
	}
	heartbeat.FirstSeen = heartbeat.ReportedAt
	if known {
		heartbeat.FirstSeen = last.FirstSeen
	}
	s.heartbeats[name] = heartbeat
}

// Live returns the names, sorted, whose last report is at most within old.
func (s *Registry) Live(now time.Time, within time.Duration) []string {
	var live []string
	for name, heartbeat := range s.heartbeats {
		if now.Sub(heartbeat.ReportedAt) <= within {
			live = append(live, name)
		}
	}
	sort.Strings(live)
	return live
}

// Count returns the number of daemons known and forgets those past Life. If the caller itself
// was paused for long, daemons get that time on top, since their signs may lie unread.
func (s *Registry) Count(now time.Time) int {
	sinceLastCount := now.Sub(s.lastCountedAt)
	if !s.lastCountedAt.IsZero() && sinceLastCount > s.ExpireAfter/8 {
		for name, heartbeat := range s.heartbeats {
			heartbeat.LastSeen = latest(heartbeat.ReportedAt, heartbeat.LastSeen).Add(sinceLastCount)
			s.heartbeats[name] = heartbeat
		}
	}
	s.lastCountedAt = now
	for name, heartbeat := range s.heartbeats {
		if now.Sub(heartbeat.ReportedAt) > s.ExpireAfter && now.Sub(heartbeat.LastSeen) > s.ExpireAfter {
			delete(s.heartbeats, name)
		}
	}
	return len(s.heartbeats)
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Behind counts the daemons heard within the given time that apply an older configuration than
// revision or fewer zone changes than zones.
func (s *Registry) CountBehind(now time.Time, within time.Duration, revision int64, zones uint64) int {
	behind := 0
	for _, heartbeat := range s.heartbeats {
		if now.Sub(heartbeat.ReportedAt) <= within && (heartbeat.Revision < revision || heartbeat.ZoneChanges < zones) {
			behind++
		}
	}
	return behind
}

// RecordContact notes a contact with name that carried no report.
func (s *Registry) RecordContact(name string, now time.Time) {
	if last, known := s.heartbeats[name]; known {
		last.LastSeen = now
		s.heartbeats[name] = last
		return
	}
	s.heartbeats[name] = Heartbeat{LastSeen: now, FirstSeen: now}
}

// Since returns the time since which name has been counted, zero if it isn't.
func (s *Registry) FirstSeen(name string) time.Time { return s.heartbeats[name].FirstSeen }

// LastReport returns the time of the last report of name, zero if there was none.
func (s *Registry) LastReport(name string) time.Time { return s.heartbeats[name].ReportedAt }
