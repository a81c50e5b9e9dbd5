// Package wallclock has nodes agree on the time of day although the clocks of some machines jump by seconds.
//
// Each control plane tells the others its time of day. An Estimator takes the median of what it was told lately, each related to its
// own steady clock, and moves towards that slowly: as long as fewer than half of the machines are wrong the median is right, and when
// more of them jump for a while the estimate hardly follows. Data planes follow the estimate of a control plane (Follower).
//
// Steady times are readings of one monotonic clock, as time.Now gives them.
package wallclock

import (
	"slices"
	"sync"
	"time"
)

const (
	// readingTTL is how long a reading counts.
	readingTTL = 5 * time.Second
	// learningTime is how long after its start an Estimator waits for the readings of others before its estimate counts.
	learningTime = 2 * time.Second
	// maxSlew is how fast the estimate may move, in seconds a second: faster than steady clocks run apart, too slow for a jump of
	// some seconds to matter before it ends.
	maxSlew = 0.002
	// maxStep is the difference from the median below which the estimate follows at once.
	maxStep = 20 * time.Millisecond
)

// reading is a time of day that was told.
type reading struct {
	// offset is the time of day less the steady time since the estimator's start.
	offset time.Duration
	at     time.Time
}

// Estimator estimates the time of day. It is safe for concurrent use.
type Estimator struct {
	startedAt time.Time

	lock     sync.Mutex
	readings map[string]reading
	// offset is the estimate, as in a reading; it counts once isSet.
	offset    time.Duration
	isSet     bool
	updatedAt time.Time
}

// NewEstimator returns an estimator without readings. startedAt is the steady time now.
func NewEstimator(startedAt time.Time) *Estimator {
	return &Estimator{startedAt: startedAt, readings: map[string]reading{}}
}

// Observe takes in what the time of day is at a source, as it was told at a steady time.
func (e *Estimator) Observe(source string, timeOfDay, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.readings[source] = reading{offset: e.offsetOf(timeOfDay, at), at: at}
	e.update(at)
}

func (e *Estimator) offsetOf(timeOfDay, at time.Time) time.Duration {
	return time.Duration(timeOfDay.UnixNano()) - at.Sub(e.startedAt)
}

// update moves the estimate towards the median. The caller holds the lock.
func (e *Estimator) update(now time.Time) {
	median, known := e.median(now)
	if !known || now.Sub(e.startedAt) < learningTime {
		return
	}
	if !e.isSet {
		e.offset, e.isSet, e.updatedAt = median, true, now
		return
	}
	allowed := time.Duration(maxSlew * float64(now.Sub(e.updatedAt)))
	if difference := (median - e.offset).Abs(); difference <= maxStep {
		allowed = difference
	}
	e.offset = min(max(median, e.offset-allowed), e.offset+allowed)
	e.updatedAt = now
}

// median is the middle one of the readings that count, the lower of two. The caller holds the lock.
func (e *Estimator) median(now time.Time) (time.Duration, bool) {
	var offsets []time.Duration
	for source, reading := range e.readings {
		if now.Sub(reading.at) > readingTTL {
			delete(e.readings, source)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], true
}

// Now estimates the time of day at a steady time, or returns false if that is not known yet.
func (e *Estimator) Now(at time.Time) (time.Time, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	return time.Unix(0, int64(e.offset+at.Sub(e.startedAt))), e.isSet
}

// Follower takes over the time of day of an Estimator elsewhere. It is safe for concurrent use.
type Follower struct {
	startedAt time.Time

	lock   sync.Mutex
	offset time.Duration
	isSet  bool
}

// NewFollower returns a follower that knows no time of day yet. startedAt is the steady time now.
func NewFollower(startedAt time.Time) *Follower { return &Follower{startedAt: startedAt} }

// Set takes over a time of day that was told at a steady time.
func (f *Follower) Set(timeOfDay, at time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.offset, f.isSet = time.Duration(timeOfDay.UnixNano())-at.Sub(f.startedAt), true
}

// Now is the time of day at a steady time, that of this machine as long as nobody has told another one.
func (f *Follower) Now(at time.Time) time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.isSet {
		return at
	}
	return time.Unix(0, int64(f.offset+at.Sub(f.startedAt)))
}

// IsSet says whether a time of day was told.
func (f *Follower) IsSet() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.isSet
}
