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

// Operator changes the configuration as an operator does, and times how it is followed.
type Operator struct {
	plan         Plan
	client       *http.Client
	revision     int64
	acknowledged *Latencies
	inForce      *Latencies
	everywhere   *Latencies
	// missed counts the data planes that did not follow a change in time.
	missed  int
	changes int
}

// NewOperator makes an operator that has sent nothing yet.
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
	// sendTimeout is how long a change may take to be acknowledged.
	sendTimeout = 15 * time.Second
	// sendRetryInterval is the wait before the next member is asked.
	sendRetryInterval = 100 * time.Millisecond
	// probeTimeout is how long a change may take to be in force at a data plane.
	probeTimeout = 10 * time.Second
	// probeInterval is the wait between questions to a data plane.
	probeInterval = 40 * time.Millisecond
	// probeCallTimeout is how long one question may take.
	probeCallTimeout = 2 * time.Second
)

// send sends a configuration to the members in turn until one acknowledges it; condition is the
// revision that it must follow.
func (o *Operator) send(ctx context.Context, method string, condition int64, body []byte, members []int) error {
	bounded, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	last := errors.New("no member asked")
	for turn := 0; bounded.Err() == nil; turn++ {
		member := members[turn%len(members)]
		address := o.plan.at(o.plan.memberHost(member), controlPort)
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

// call sends a configuration to one address and is the answer's status.
func (o *Operator) call(ctx context.Context, method, address string, condition int64, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/ferryspar/config", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", strconv.FormatInt(condition, 10))
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, nil
}

// everyMember lists all members' indices, beginning at one.
func (p Plan) everyMember(from int) []int {
	var members []int
	for index := range p.Members {
		members = append(members, (from+index)%p.Members)
	}
	return members
}

// PutInitial sends the first configuration.
func (o *Operator) PutInitial(ctx context.Context) error {
	document, err := o.plan.document(1)
	if err != nil {
		return err
	}
	if err := o.send(ctx, http.MethodPut, 0, document, o.plan.everyMember(0)); err != nil {
		return err
	}
	o.revision = 1
	return nil
}

// ApplyChange replaces one probe route by the next, and waits until the data planes serve it; those that
// do not in time count as missed.
func (o *Operator) ApplyChange(ctx context.Context, nodes []int, members []int) error {
	next := o.revision + 1
	document, err := patchDocument(next, o.revision)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := o.send(ctx, http.MethodPatch, o.revision, document, members); err != nil {
		return err
	}
	o.revision = next
	o.changes++
	o.acknowledged.Record(time.Since(began))
	var waiting sync.WaitGroup
	var lock sync.Mutex
	latest := time.Duration(0)
	for _, index := range nodes {
		waiting.Go(func() {
			duration, found := o.probe(ctx, index, probePath(next), began)
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

// probe waits until a data plane serves the path, and is the time since the change began.
func (o *Operator) probe(ctx context.Context, index int, path string, began time.Time) (time.Duration, bool) {
	address := o.plan.at(o.plan.dataHost(index), dataPort)
	for ctx.Err() == nil && time.Since(began) < probeTimeout {
		if o.servesRoute(ctx, address, path) {
			return time.Since(began), true
		}
		time.Sleep(probeInterval)
	}
	return 0, false
}

// servesRoute reports whether a data plane knows the path, by a request that is malformed on purpose:
// it is answered with 400 by a route, and otherwise without one.
func (o *Operator) servesRoute(ctx context.Context, address, path string) bool {
	bounded, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	request.Host = hostName
	request.Header.Set(replica.HeaderAttemptID, fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	request.Header.Set(replica.HeaderTokenCount, "none")
	answer, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode == http.StatusBadRequest
}

// isReady asks a data plane for its readiness.
func (o *Operator) isReady(ctx context.Context, index int) bool {
	bounded, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()
	address := o.plan.at(o.plan.dataHost(index), readyPort)
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+"/ferryspar/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AwaitReady waits until the data planes are ready, and fails if some are not within the bound.
func (o *Operator) AwaitReady(ctx context.Context, nodes []int, timeout time.Duration) (*Latencies, error) {
	began := time.Now()
	spread := NewLatencies()
	var waiting sync.WaitGroup
	for _, index := range nodes {
		waiting.Go(func() {
			for ctx.Err() == nil && time.Since(began) < timeout {
				if o.isReady(ctx, index) {
					spread.Record(time.Since(began))
					return
				}
				time.Sleep(probeInterval)
			}
		})
	}
	waiting.Wait()
	if missing := int64(len(nodes)) - spread.Quantiles().Count; missing > 0 {
		return spread, errors.Errorf("%d of %d data planes not ready within %s", missing, len(nodes), timeout)
	}
	return spread, nil
}
