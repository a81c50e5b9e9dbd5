package keystoresim

import (
	"math"
	"math/rand/v2"
	"time"
	"unsafe"

	"ferryspar/internal/keystore"
)

// timeLayout is the memory layout of a time.Time. The package time offers no way to move the wall clock reading of a time
// without its monotonic one, as happens to a machine whose clock is set.
type timeLayout struct {
	wall     uint64
	ext      int64
	location *time.Location
}

const (
	// monotonicBit says that ext holds a monotonic reading and wall holds seconds and nanoseconds.
	monotonicBit = uint64(1) << 63
	secondsShift = 30
	// unixToWallSeconds leads from seconds since 1970 to those since 1885, from which wall counts.
	unixToWallSeconds = 2682288000
)

// monotonicOrigin is where the fake time of testing/synctest begins.
var monotonicOrigin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// OffsetWallClock returns a time whose wall clock reading is moved by the offset and whose monotonic reading is not.
func OffsetWallClock(now time.Time, offset time.Duration) time.Time {
	wall := now.Add(offset)
	result := time.Time{}
	raw := (*timeLayout)(unsafe.Pointer(&result))
	raw.wall = monotonicBit | uint64(wall.Unix()+unixToWallSeconds)<<secondsShift | uint64(wall.Nanosecond())
	raw.ext = int64(now.Sub(monotonicOrigin)) + 1
	return result
}

// Clock is the clock of a machine.
func (c *Cluster) Clock(name string) keystore.Clock {
	return func() time.Time {
		c.lock.Lock()
		defer c.lock.Unlock()
		now := OffsetWallClock(c.steadyTime(name), c.clockOffsets[name])
		if c.UsesWallClock {
			return now.Round(0)
		}
		return now
	}
}

// steadyTime is the monotonic clock of a machine, which runs too fast or too slow by up to ClockDrift.
func (c *Cluster) steadyTime(name string) time.Time {
	now := time.Now()
	if c.ClockDrift == 0 {
		return now
	}
	share := 2*float64(c.drawNumber(name, "drift"))/math.MaxUint64 - 1
	return now.Add(time.Duration(share * c.ClockDrift * float64(now.Sub(monotonicOrigin))))
}

// StepWallClock is a Fault that moves a machine's wall clock by up to an hour either way.
func StepWallClock(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.lock.Lock()
	cluster.clockOffsets[name] += time.Duration(random.Int64N(int64(2*time.Hour))) - time.Hour
	cluster.lock.Unlock()
	time.Sleep(duration)
}
