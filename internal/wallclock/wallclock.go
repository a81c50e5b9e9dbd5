// Package wallclock lets nodes agree on the time of day even though the clocks of some machines jump by seconds.
//
// Each control plane sends its time of day to the others. An Estimator takes the median of the recent readings, each relative to
// its own monotonic clock, and slews its estimate towards that: the median is right as long as fewer than half of the clocks are
// wrong, and if more of them jump for a while the estimate hardly follows. Data planes use the estimate of a control plane
// (Follower).
//
// Monotonic times are readings of one monotonic clock, as returned by time.Now.
package wallclock

import (
	"slices"
	"sync"
	"time"
)

const (
	// readingTTL is how long a reading is used.
	readingTTL = 5 * time.Second
	// learningTime is how long after its start an Estimator collects readings before it has an estimate.
	learningTime = 2 * time.Second
	// maxSlew is the maximum rate at which the estimate is adjusted, in seconds per second: faster than the drift between
	// monotonic clocks, and too slow for a jump of a few seconds to matter before it ends.
	maxSlew = 0.002
	// maxStep is the largest difference from the median that is corrected at once.
	maxStep = 20 * time.Millisecond
)

// reading is a time of day received from a source.
type reading struct {
	// offset is the time of day minus the monotonic time since the estimator's start.
	offset time.Duration
	at     time.Time
}

// Estimator estimates the time of day. It is safe for concurrent use.
type Estimator struct {
	startedAt time.Time

	lock     sync.Mutex
	readings map[string]reading
	// offset is the estimate, defined as in a reading, and valid if isSet.
	offset    time.Duration
	isSet     bool
	updatedAt time.Time
}

// NewEstimator returns an estimator without readings. startedAt is the current monotonic time.
func NewEstimator(startedAt time.Time) *Estimator {
	return &Estimator{startedAt: startedAt, readings: map[string]reading{}}
}

// Observe adds a reading: the time of day of a source at a monotonic time.
func (e *Estimator) Observe(source string, timeOfDay, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.readings[source] = reading{offset: e.offsetOf(timeOfDay, at), at: at}
	e.update(at)
}

func (e *Estimator) offsetOf(timeOfDay, at time.Time) time.Duration {
	return time.Duration(timeOfDay.UnixNano()) - at.Sub(e.startedAt)
}

// update adjusts the estimate towards the median. The caller must hold the lock.
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

// median returns the median of the current readings, the lower one of two, and removes expired readings. The caller must hold the
// lock.
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

// Now returns the estimated time of day at a monotonic time, or false if there is no estimate yet.
func (e *Estimator) Now(at time.Time) (time.Time, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	return time.Unix(0, int64(e.offset+at.Sub(e.startedAt))), e.isSet
}

// Follower tracks the time of day of a remote Estimator. It is safe for concurrent use.
type Follower struct {
	startedAt time.Time

	lock   sync.Mutex
	offset time.Duration
	isSet  bool
}

// NewFollower returns a follower without a time of day. startedAt is the current monotonic time.
func NewFollower(startedAt time.Time) *Follower { return &Follower{startedAt: startedAt} }

// Set sets the time of day at a monotonic time.
func (f *Follower) Set(timeOfDay, at time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.offset, f.isSet = time.Duration(timeOfDay.UnixNano())-at.Sub(f.startedAt), true
}

// Now returns the time of day at a monotonic time. Until Set is called, that is the time of the local clock.
func (f *Follower) Now(at time.Time) time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.isSet {
		return at
	}
	return time.Unix(0, int64(f.offset+at.Sub(f.startedAt)))
}

// IsSet reports whether Set has been called.
func (f *Follower) IsSet() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.isSet
}
