package routing

import "time"

// backlog estimates when waiting requests get a slot: by what waits before them for the same replicas, and by the rate at which those
// replicas give slots back. A request that waits for several replicas counts at each of them in equal parts.
type backlog struct {
	ahead []float64 // waiting requests by the replica's position in the index
}

// reset empties the backlog for an index with the given number of replicas.
func (b *backlog) reset(replicas int) { b.ahead = resizeBuffer(b.ahead, replicas, 0) }

// add counts one more request that waits for the replicas.
func (b *backlog) add(hosts []int) {
	for _, position := range hosts {
		b.ahead[position] += 1 / float64(len(hosts))
	}
}

// requestsAhead returns the number of requests that wait for the replicas before the next one.
func (b *backlog) requestsAhead(hosts []int) float64 {
	total := 0.0
	for _, position := range hosts {
		total += b.ahead[position]
	}
	return total
}

// slotsPerMs returns the expected rate at which the replicas give back slots that this data plane uses (Little's law).
func (m *Matcher) slotsPerMs(hosts []int) float64 {
	rate := 0.0
	for _, position := range hosts {
		rate += m.replicas.at(m.index, position).slotsPerMs
	}
	return max(rate, 0)
}

// expectedWait returns when a request that waits behind the given number of others is expected to get a slot. known is false if
// nothing of this data plane runs at the replicas, so that others alone decide when slots become free.
func (m *Matcher) expectedWait(hosts []int, ahead float64) (wait time.Duration, known bool) {
	rate := m.slotsPerMs(hosts)
	if rate <= 0 {
		return 0, false
	}
	return fromMs((ahead + 1) / rate), true
}

// rejectHopeless rejects the waiting requests whose turn is expected after their latest start, in the order of the queue: a
// rejected request is no longer ahead of the next ones. The first at its replicas is never rejected.
func (m *Matcher) rejectHopeless(now time.Time) {
	if m.queue.len() == 0 {
		return
	}
	m.backlog.reset(len(m.index.replicas))
	for _, request := range m.queue.requests {
		hosts := request.hostsIn(m.index)
		ahead := m.backlog.requestsAhead(hosts)
		request.expectedWait = 0
		wait, known := m.expectedWait(hosts, ahead)
		if known && !request.modelNotLoaded {
			request.expectedWait = wait
			if ahead >= 1 && now.Add(wait).After(request.latestStart()) {
				m.reject(request, now)
				continue
			}
		}
		m.backlog.add(hosts)
	}
	m.queue.removeDecided()
}
