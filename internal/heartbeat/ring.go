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

func spot(name string) uint64 {
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
	sort.Slice(ordered, func(left, right int) bool { return spot(ordered[left]) < spot(ordered[right]) })
	own := spot(name)
	start := sort.Search(len(ordered), func(index int) bool { return spot(ordered[index]) >= own })
	var watchers []string
	for index := 0; index < len(ordered) && index < amount; index++ {
		watchers = append(watchers, ordered[(start+index)%len(ordered)])
	}
	return watchers
}

// Beat is the last sign of life of one daemon. At is its last complete report, Heard the last
// contact of any kind, Since the first of those without a gap of a lifetime, Revision and Zones the configuration and the number of zone changes that it
// said it applies.
type Beat struct {
	At       time.Time
	Heard    time.Time
	Since    time.Time
	Zone     string
	Revision int64
	Zones    uint64
}

// Registry keeps the last Beat of each daemon. Daemons without a sign for Life are forgotten by
// Counted.
type Registry struct {
	Lifetime time.Duration
	beats    map[string]Beat
	looked   time.Time
}

// NewRegistry returns an empty register that forgets after life.
func NewRegistry(life time.Duration) *Registry {
	return &Registry{Lifetime: life, beats: map[string]Beat{}}
}

// Record keeps beat for name, unless a later one is kept already.
func (r *Registry) Record(name string, beat Beat) {
	held, known := r.beats[name]
	if known && beat.At.Before(held.At) {
		return
	}
	beat.Since = beat.At
	if known {
		beat.Since = held.Since
	}
	r.beats[name] = beat
}

// Live returns the names, sorted, whose last report is at most within old.
func (r *Registry) Live(now time.Time, within time.Duration) []string {
	var live []string
	for name, beat := range r.beats {
		if now.Sub(beat.At) <= within {
			live = append(live, name)
		}
	}
	sort.Strings(live)
	return live
}

// Count returns the number of daemons known and forgets those past Life. If the caller itself
// was paused for long, daemons get that time on top, since their signs may lie unread.
func (r *Registry) Count(now time.Time) int {
	asleep := now.Sub(r.looked)
	if !r.looked.IsZero() && asleep > r.Lifetime/8 {
		for name, beat := range r.beats {
			beat.Heard = later(beat.At, beat.Heard).Add(asleep)
			r.beats[name] = beat
		}
	}
	r.looked = now
	for name, beat := range r.beats {
		if now.Sub(beat.At) > r.Lifetime && now.Sub(beat.Heard) > r.Lifetime {
			delete(r.beats, name)
		}
	}
	return len(r.beats)
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Behind counts the daemons heard within the given time that apply an older configuration than
// revision or fewer zone changes than zones.
func (r *Registry) Behind(now time.Time, within time.Duration, revision int64, zones uint64) int {
	behind := 0
	for _, beat := range r.beats {
		if now.Sub(beat.At) <= within && (beat.Revision < revision || beat.Zones < zones) {
			behind++
		}
	}
	return behind
}

// MarkHeard notes a contact with name that carried no report.
func (r *Registry) MarkHeard(name string, now time.Time) {
	if held, known := r.beats[name]; known {
		held.Heard = now
		r.beats[name] = held
		return
	}
	r.beats[name] = Beat{Heard: now, Since: now}
}

// Since returns the time since which name has been counted, zero if it isn't.
func (r *Registry) Since(name string) time.Time { return r.beats[name].Since }

// LastBeat returns the time of the last report of name, zero if there was none.
func (r *Registry) LastBeat(name string) time.Time { return r.beats[name].At }
