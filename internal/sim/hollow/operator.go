package hollow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
)

// Operator changes the configuration through the operator API and measures how long the changes take.
type Operator struct {
	plan         Plan
	client       *http.Client
	revision     int64
	acknowledged *Latencies
	inForce      *Latencies
	everywhere   *Latencies
	// missed counts the data planes that did not apply a change in time.
	missed  int
	changes int
}

// NewOperator returns an operator that has not sent a configuration yet.
func NewOperator(plan Plan) *Operator {
	transport := peer.NewTransport(peer.HostNetwork{}, time.Second, 10*time.Second, 2)
	return &Operator{
		plan:         plan,
		client:       &http.Client{Transport: transport},
		acknowledged: NewLatencies(),
		inForce:      NewLatencies(),
		everywhere:   NewLatencies(),
	}
}

const (
	// sendTimeout is the timeout for a change to be acknowledged.
	sendTimeout = 15 * time.Second
	// sendRetryInterval is the wait before the next member is tried.
	sendRetryInterval = 100 * time.Millisecond
	// probeTimeout is the timeout for a change to be in force at a data plane.
	probeTimeout = 10 * time.Second
	// probeInterval is the interval between probes of a data plane.
	probeInterval = 40 * time.Millisecond
	// probeCallTimeout is the timeout of one probe.
	probeCallTimeout = 2 * time.Second
)

// send sends a configuration to the members in turn until one acknowledges it. condition is the revision that it must follow.
func (o *Operator) send(ctx context.Context, method string, condition int64, body []byte, members []int) error {
	bounded, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	last := errors.New("no member tried")
	for attempt := 0; bounded.Err() == nil; attempt++ {
		member := members[attempt%len(members)]
		address := o.plan.address(o.plan.memberHost(member), controlPort)
		var status int
		status, last = o.call(bounded, method, address, condition, body)
		if last == nil && status == http.StatusOK {
			return nil
		}
		if last == nil {
			last = errors.Errorf("status %d", status)
		}
		time.Sleep(sendRetryInterval)
	}
	return errors.Wrap(last, "configuration not acknowledged")
}

// call sends a configuration to one address and returns the status of the response.
func (o *Operator) call(ctx context.Context, method, address string, condition int64, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/ferryspar/config", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", strconv.FormatInt(condition, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// membersFrom returns the indices of all members, starting at from.
func (p Plan) membersFrom(from int) []int {
	var members []int
	for index := range p.Members {
		members = append(members, (from+index)%p.Members)
	}
	return members
}

// PutInitial sends the initial configuration.
func (o *Operator) PutInitial(ctx context.Context) error {
	document, err := o.plan.document(1)
	if err != nil {
		return err
	}
	if err := o.send(ctx, http.MethodPut, 0, document, o.plan.membersFrom(0)); err != nil {
		return err
	}
	o.revision = 1
	return nil
}

// ApplyChange replaces the probe route by the next one and waits until the data planes serve it. Data planes that do not
// serve it in time count as missed.
func (o *Operator) ApplyChange(ctx context.Context, nodes []int, members []int) error {
	next := o.revision + 1
	document, err := patchDocument(next, o.revision)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	if err := o.send(ctx, http.MethodPatch, o.revision, document, members); err != nil {
		return err
	}
	o.revision = next
	o.changes++
	o.acknowledged.Record(time.Since(startedAt))
	var waiting sync.WaitGroup
	var lock sync.Mutex
	latest := time.Duration(0)
	for _, index := range nodes {
		waiting.Go(func() {
			duration, found := o.probe(ctx, index, probePath(next), startedAt)
			lock.Lock()
			defer lock.Unlock()
			if !found {
				o.missed++
				return
			}
			o.inForce.Record(duration)
			latest = max(latest, duration)
		})
	}
	waiting.Wait()
	o.everywhere.Record(latest)
	return nil
}

// probe waits until a data plane serves the path and returns the time since the change was sent.
func (o *Operator) probe(ctx context.Context, index int, path string, startedAt time.Time) (time.Duration, bool) {
	address := o.plan.address(o.plan.dataHost(index), dataPort)
	for ctx.Err() == nil && time.Since(startedAt) < probeTimeout {
		if o.servesRoute(ctx, address, path) {
			return time.Since(startedAt), true
		}
		time.Sleep(probeInterval)
	}
	return 0, false
}

// servesRoute reports whether a data plane has a route for the path. It sends a deliberately malformed request, which gets
// status 400 only if there is a route.
func (o *Operator) servesRoute(ctx context.Context, address, path string) bool {
	bounded, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	request.Host = routeHostname
	request.Header.Set(replica.HeaderAttemptID, fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	request.Header.Set(replica.HeaderTokenCount, "none")
	response, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusBadRequest
}

// isReady reports whether a data plane is ready, according to its readiness endpoint.
func (o *Operator) isReady(ctx context.Context, index int) bool {
	bounded, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()
	address := o.plan.address(o.plan.dataHost(index), readyPort)
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+"/ferryspar/readyz", nil)
	if err != nil {
		return false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the data planes are ready and returns how long they took. It returns an error if some exceed the
// timeout.
func (o *Operator) AwaitReady(ctx context.Context, nodes []int, timeout time.Duration) (*Latencies, error) {
	startedAt := time.Now()
	latencies := NewLatencies()
	var waiting sync.WaitGroup
	for _, index := range nodes {
		waiting.Go(func() {
			for ctx.Err() == nil && time.Since(startedAt) < timeout {
				if o.isReady(ctx, index) {
					latencies.Record(time.Since(startedAt))
					return
				}
				time.Sleep(probeInterval)
			}
		})
	}
	waiting.Wait()
	if missing := int64(len(nodes)) - latencies.Quantiles().Count; missing > 0 {
		return latencies, errors.Errorf("%d of %d data planes not ready within %s", missing, len(nodes), timeout)
	}
	return latencies, nil
}
