package routing

import "time"

const (
	// maxSamples is divided evenly over the routes, within minSamplesPerRoute and maxSamplesPerRoute.
	maxSamples         = 2000
	minSamplesPerRoute = 4
	maxSamplesPerRoute = 200
	// maxSampledRoutes limits the number of sampled routes; one more discards all samples.
	maxSampledRoutes = 1024
)

// sampleRing holds the last requests of a route; once it is full, each new request replaces the oldest.
type sampleRing struct {
	requests []*Request
	next     int // position of the oldest, once the ring is full
}

// requestSamples holds the last requests by route, for forecasts.
type requestSamples struct {
	routes map[string]*sampleRing
}

// add adds a request. Requests without a route, and retries at another replica, are not sampled.
func (s *requestSamples) add(request *Request) {
	if request.Route == "" || len(request.ExcludedReplicas) > 0 {
		return
	}
	ring := s.routes[request.Route]
	if ring == nil {
		if s.routes == nil || len(s.routes) >= maxSampledRoutes {
			s.routes = map[string]*sampleRing{}
		}
		ring = &sampleRing{}
		s.routes[request.Route] = ring
	}
	limit := min(max(maxSamples/len(s.routes), minSamplesPerRoute), maxSamplesPerRoute)
	if len(ring.requests) < limit {
		ring.requests = append(ring.requests, request)
		return
	}
	ring.requests[ring.next] = request
	ring.next = (ring.next + 1) % len(ring.requests)
}

// each calls visit for the requests of a ring, the oldest first.
func (r *sampleRing) each(visit func(request *Request)) {
	for position := range r.requests {
		visit(r.requests[(r.next+position)%len(r.requests)])
	}
}

// drop removes the matching requests, and routes without any left.
func (s *requestSamples) drop(matches func(request *Request) bool) {
	for route, ring := range s.routes {
		remaining := &sampleRing{}
		ring.each(func(request *Request) {
			if !matches(request) {
				remaining.requests = append(remaining.requests, request)
			}
		})
		s.routes[route] = remaining
		if len(remaining.requests) == 0 {
			delete(s.routes, route)
		}
	}
}

// expire removes requests that are older than the time to live.
func (s *requestSamples) expire(ttl time.Duration, now time.Time) {
	for _, ring := range s.routes {
		oldest := ring.requests[ring.next%len(ring.requests)]
		if now.Sub(oldest.ArrivedAt) > ttl {
			s.drop(func(request *Request) bool { return now.Sub(request.ArrivedAt) > ttl })
			return
		}
	}
}

// forget removes requests with a matching part.
func (s *requestSamples) forget(matches func(model string, part uint64) bool) {
	s.drop(func(request *Request) bool {
		for _, part := range request.Parts {
			if matches(request.Model, part.ID) {
				return true
			}
		}
		return false
	})
}
