package keystoresim

import (
	"math"
	"math/rand/v2"
	"time"
	"unsafe"

	"ferryspar/internal/keystore"
)

// timeLayout is the memory layout of a time.Time. Package time offers no way to change the wall clock reading of a time but
// not its monotonic reading, which is the effect of setting a machine's clock.
type timeLayout struct {
	wall     uint64
	ext      int64
	location *time.Location
}

const (
	// monotonicBit means that ext holds a monotonic reading and wall holds seconds and nanoseconds.
	monotonicBit = uint64(1) << 63
	secondsShift = 30
	// unixToWallSeconds converts seconds since 1970 to seconds since 1885, the epoch of wall.
	unixToWallSeconds = 2682288000
)

// monotonicOrigin is the time at which the fake clock of testing/synctest starts.
var monotonicOrigin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// OffsetWallClock returns the time with the offset added to its wall clock reading and its monotonic reading unchanged.
func OffsetWallClock(now time.Time, offset time.Duration) time.Time {
	wall := now.Add(offset)
	result := time.Time{}
	raw := (*timeLayout)(unsafe.Pointer(&result))
	raw.wall = monotonicBit | uint64(wall.Unix()+unixToWallSeconds)<<secondsShift | uint64(wall.Nanosecond())
	raw.ext = int64(now.Sub(monotonicOrigin)) + 1
	return result
}

// Clock returns the clock of a machine.
func (c *Cluster) Clock(name string) keystore.Clock {
	return func() time.Time {
		c.lock.Lock()
		defer c.lock.Unlock()
		now := OffsetWallClock(c.monotonicTime(name), c.clockOffsets[name])
		if c.UsesWallClock {
			return now.Round(0)
		}
		return now
	}
}

// monotonicTime returns the monotonic time of a machine, whose clock runs too fast or too slow by up to ClockDrift.
func (c *Cluster) monotonicTime(name string) time.Time {
	now := time.Now()
	if c.ClockDrift == 0 {
		return now
	}
	driftFactor := 2*float64(c.drawNumber(name, "drift"))/math.MaxUint64 - 1
	return now.Add(time.Duration(driftFactor * c.ClockDrift * float64(now.Sub(monotonicOrigin))))
}

// StepWallClock is a Fault that steps a machine's wall clock by up to an hour forwards or backwards.
func StepWallClock(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.lock.Lock()
	cluster.clockOffsets[name] += time.Duration(random.Int64N(int64(2*time.Hour))) - time.Hour
	cluster.lock.Unlock()
	time.Sleep(duration)
}
