package dataplane

import "time"

const (
	// probePause is a sleep that ends at most maxLateness late if the process gets CPU time.
	probePause  = 20 * time.Millisecond
	maxLateness = 20 * time.Millisecond
)

// awaitCPUTime waits until the process is scheduled normally, or until the deadline. After CPU starvation many timers and sockets
// are due at the same time, and a keep-alive connection whose next request has not been read yet appears idle: closing it then
// would drop that request without a response.
func awaitCPUTime(clock func() time.Time, sleep func(time.Duration), deadline time.Time) {
	for startedAt := clock(); startedAt.Before(deadline); startedAt = clock() {
		sleep(probePause)
		if clock().Sub(startedAt) <= probePause+maxLateness {
			return
		}
	}
}
