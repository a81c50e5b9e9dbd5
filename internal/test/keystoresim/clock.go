package keystoresim

import (
	"math/rand/v2"
	"time"
	"unsafe"

	"ferryspar/internal/keystore"
)

type timeLayout struct {
	wall     uint64
	ext      int64
	location *time.Location
}

const (
	monotonicBit      = uint64(1) << 63
	secondsShift      = 30
	unixToWallSeconds = 2682288000
)

var monotonicOrigin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// OffsetWallClock is a time whose day is moved by the step and whose steady reading is not.
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
		made := OffsetWallClock(time.Now(), c.clockOffsets[name])
		if c.UsesWallClock {
			return made.Round(0)
		}
		return made
	}
}

// StepWallClock moves a machine's time of day by up to an hour either way.
func StepWallClock(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.lock.Lock()
	f.clockOffsets[name] += time.Duration(random.Int64N(int64(2*time.Hour))) - time.Hour
	f.lock.Unlock()
	time.Sleep(duration)
}
