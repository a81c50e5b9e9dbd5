package dataplane

import "time"

const (
	// testPause is a pause that ends in time, within maxLateness, while the process gets processor time.
	testPause   = 20 * time.Millisecond
	maxLateness = 20 * time.Millisecond
)

// awaitProcessorTime waits until the process gets processor time, or until the deadline. A process that got none for a while has
// timers and sockets to serve at once, and a kept connection whose next request lies unread looks idle: closed now, it would end
// without an answer.
func awaitProcessorTime(clock func() time.Time, sleep func(time.Duration), deadline time.Time) {
	for began := clock(); began.Before(deadline); began = clock() {
		sleep(testPause)
		if clock().Sub(began) <= testPause+maxLateness {
			return
		}
	}
}
