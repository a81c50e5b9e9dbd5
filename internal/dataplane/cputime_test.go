package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAwaitCPUTime_WaitsWhileTimersFireLate(t *testing.T) {
	cases := map[string]struct {
		lateness []time.Duration
		want     time.Duration
	}{
		"in time":         {[]time.Duration{0}, probePause},
		"late twice":      {[]time.Duration{time.Second, 300 * time.Millisecond, 0}, 1300*time.Millisecond + 3*probePause},
		"late for longer": {[]time.Duration{time.Second, time.Second, time.Second, time.Second}, 2*time.Second + 2*probePause},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
			now, pauses := startedAt, 0
			awaitCPUTime(
				func() time.Time { return now },
				func(pause time.Duration) {
					now = now.Add(pause + test.lateness[pauses])
					pauses++
				},
				startedAt.Add(2*time.Second),
			)
			assert.Equal(t, now.Sub(startedAt), test.want)
		})
	}
}
