package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAwaitProcessorTime_WaitsWhilePausesEndLate(t *testing.T) {
	cases := map[string]struct {
		lateness []time.Duration
		want     time.Duration
	}{
		"in time":         {[]time.Duration{0}, testPause},
		"late twice":      {[]time.Duration{time.Second, 300 * time.Millisecond, 0}, 1300*time.Millisecond + 3*testPause},
		"late for longer": {[]time.Duration{time.Second, time.Second, time.Second, time.Second}, 2*time.Second + 2*testPause},
	}
	for name, given := range cases {
		t.Run(name, func(t *testing.T) {
			began := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
			now, pauses := began, 0
			awaitProcessorTime(
				func() time.Time { return now },
				func(pause time.Duration) {
					now = now.Add(pause + given.lateness[pauses])
					pauses++
				},
				began.Add(2*time.Second),
			)
			assert.Equal(t, now.Sub(began), given.want)
		})
	}
}
