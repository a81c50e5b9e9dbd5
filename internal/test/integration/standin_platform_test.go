package integration

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ferryspar/internal/discovery"
)

// platformCall is a call of the lease holder that has reached the platform.
type platformCall struct {
	at     time.Time
	path   string
	holder string
	fence  uint64
	body   string
}

// standInPlatform serves the calls that only the lease holder makes to the platform. It rejects outdated fences.
type standInPlatform struct {
	lock  sync.Mutex
	calls []platformCall
	// down makes calls fail before they are carried out, dropAnswers afterwards.
	down          bool
	dropAnswers   bool
	rejectedCalls int
}

func (p *standInPlatform) update(change func(p *standInPlatform)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change(p)
}

// ServeHTTP records a call, unless an earlier call of the same path had a higher fence.
func (p *standInPlatform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	fence, _ := strconv.ParseUint(request.Header.Get("Ferryspar-Fence-Token"), 10, 64)
	call := platformCall{
		at:     time.Now(),
		path:   request.URL.Path,
		holder: request.Header.Get("Ferryspar-Lease-Holder"),
		fence:  fence,
		body:   string(body),
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, earlier := range p.calls {
		if earlier.path == call.path && earlier.fence > call.fence {
			p.rejectedCalls++
			writer.WriteHeader(http.StatusConflict)
			return
		}
	}
	p.calls = append(p.calls, call)
	if p.dropAnswers {
		panic(http.ErrAbortHandler)
	}
}

// accepted returns the calls of a path that were carried out.
func (p *standInPlatform) accepted(path string) []platformCall {
	p.lock.Lock()
	defer p.lock.Unlock()
	var calls []platformCall
	for _, call := range p.calls {
		if call.path == path {
			calls = append(calls, call)
		}
	}
	return calls
}

// platformRoutes returns the handler of all platform endpoints.
func (f *fleet) platformRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("/replicas", f.serveReplicaList)
	routes.Handle(discovery.PathUsage, &f.platform)
	routes.Handle(discovery.PathCapacity, &f.platform)
	return routes
}
