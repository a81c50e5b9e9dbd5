package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/adminapi"
)

const (
	operatorHost       = "10.9.9.9"
	operatorTimeout    = time.Second
	initialBackoff     = 100 * time.Millisecond
	maxBackoff         = time.Second
	maxConcurrentCalls = 8
	redirectsAllowed   = 2
	zoneResendBound    = 4 * time.Second
)

// outcome is what an operator knows of a change after a call.
type outcome int

const (
	unknown outcome = iota
	acknowledged
	rejected
)

// operatorChange is one change that an operator intends; it is resent unchanged.
type operatorChange struct {
	name     string
	route    string
	method   string
	path     string
	body     string
	ifMatch  int
	revision int
	zone     string
	drained  bool
}

// operatorCall is one attempt of a change at one member. status is what the member answered, also if the answer was lost.
type operatorCall struct {
	change     operatorChange
	host       string
	began      time.Time
	ended      time.Time
	status     int
	reason     string
	answerLost bool
	outcome    outcome
}

func (c operatorCall) String() string {
	return fmt.Sprintf("%s (If-Match %d) at %s, %s to %s: %d lost=%t %.120s", c.change.name, c.change.ifMatch, c.host,
		c.began.Format("05.000"), c.ended.Format("05.000"), c.status, c.answerLost, c.reason)
}

// operators simulates the people and scripts that call the control plane, with lost answers and resends.
type operators struct {
	fleet          *fleet
	client         *http.Client
	hosts          []string
	answerLossRate float64
	inFlight       chan struct{}
	lock           sync.Mutex
	rng            *rand.Rand
	calls          []operatorCall
}

func newOperators(f *fleet, seed uint64, cores ...int) *operators {
	o := &operators{fleet: f, inFlight: make(chan struct{}, maxConcurrentCalls), rng: rand.New(rand.NewPCG(seed, 1))}
	for _, number := range cores {
		o.hosts = append(o.hosts, coreHost(number))
	}
	o.client = &http.Client{Transport: f.client.Transport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > redirectsAllowed {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	return o
}

func configurationChange(ifMatch, revision int, route, body string) operatorChange {
	return operatorChange{
		name: "add " + route, route: route, method: http.MethodPatch, path: "/ferryspar/config",
		body: body, ifMatch: ifMatch, revision: revision,
	}
}

func addRoute(ifMatch, revision int, route string) operatorChange {
	body := fmt.Sprintf(`{"revision":%d,"upsert":{"routeTable":[%s]}}`, revision, routeNamed(route)[1:])
	return configurationChange(ifMatch, revision, route, body)
}

func replaceRoute(ifMatch, revision int, added, removed string) operatorChange {
	body := fmt.Sprintf(
		`{"revision":%d,"upsert":{"routeTable":[%s]},"remove":{"routeTable":[%q]}}`,
		revision,
		routeNamed(added)[1:],
		removed,
	)
	return configurationChange(ifMatch, revision, added, body)
}

func evacuationChange(zone string, drained bool, label string) operatorChange {
	method := http.MethodDelete
	if drained {
		method = http.MethodPost
	}
	name := fmt.Sprintf("%s %s %s", method, zone, label)
	return operatorChange{name: name, method: method, path: "/ferryspar/drain-zone/" + zone, zone: zone, drained: drained}
}

func (o *operators) randomFloat() float64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.rng.Float64()
}

func (o *operators) pickMember() string { return o.pickOtherMember("") }

// pickOtherMember returns a random member other than the last one.
func (o *operators) pickOtherMember(last string) string {
	others := []string{}
	for _, host := range o.hosts {
		if host != last {
			others = append(others, host)
		}
	}
	return others[int(o.randomFloat()*float64(len(others)))]
}

func (o *operators) request(ctx context.Context, method, host, path, body, condition string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+":8166"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if condition != "" {
		request.Header.Set("If-Match", condition)
	}
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(content)
}

// attempt sends a change to one member once.
func (o *operators) attempt(change operatorChange, host string) operatorCall {
	o.inFlight <- struct{}{}
	defer func() { <-o.inFlight }()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	condition := ""
	if change.zone == "" {
		condition = fmt.Sprint(change.ifMatch)
	}
	call := operatorCall{change: change, host: host, began: time.Now()}
	call.status, call.reason = o.request(ctx, change.method, host, change.path, change.body, condition)
	call.ended = time.Now()
	call.outcome = outcomeOf(call.status)
	if call.status != 0 && o.randomFloat() < o.answerLossRate {
		call.answerLost, call.outcome = true, unknown
	}
	o.lock.Lock()
	o.calls = append(o.calls, call)
	o.lock.Unlock()
	return call
}

func outcomeOf(status int) outcome {
	switch {
	case status >= 200 && status < 300:
		return acknowledged
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status < 400 || status >= 500:
		return unknown
	}
	return rejected
}

// send resends a change until it has a definite outcome or the timeout is over.
func (o *operators) send(change operatorChange, timeout time.Duration) outcome {
	began, backoff, host := time.Now(), initialBackoff, ""
	for {
		host = o.pickOtherMember(host)
		call := o.attempt(change, host)
		if call.outcome != unknown || time.Since(began) > timeout {
			return call.outcome
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (o *operators) sendZoneChange(zone string, drained bool, label string) outcome {
	return o.send(evacuationChange(zone, drained, label), zoneResendBound)
}

// read gets the configuration from one member.
func (o *operators) read(host string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return o.request(ctx, http.MethodGet, host, "/ferryspar/config", "", "")
}

// waitConfiguration reads from random members until one answers with the configuration.
func (o *operators) waitConfiguration(timeout time.Duration) string {
	began := time.Now()
	for {
		status, content := o.read(o.pickMember())
		if status == http.StatusOK {
			return content
		}
		if time.Since(began) > timeout {
			return fmt.Sprintf("nothing within %s, last %d %s", timeout, status, content)
		}
		time.Sleep(initialBackoff)
	}
}

func (o *operators) status(host string) adminapi.FleetStatus {
	got := o.fleet.call(http.MethodGet, host+":8166", "/ferryspar/status", "", nil)
	var status adminapi.FleetStatus
	_ = json.Unmarshal([]byte(got.body), &status)
	return status
}

// newestAcknowledged returns the highest acknowledged revision.
func (o *operators) newestAcknowledged() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	newest := 0
	for _, call := range o.calls {
		if call.change.zone == "" && outcomeOf(call.status) == acknowledged {
			newest = max(newest, call.change.revision)
		}
	}
	return newest
}

// waitMembers waits until a member reports this number of members and no membership change in progress.
func (o *operators) waitMembers(host string, amount int, timeout time.Duration) bool {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(initialBackoff) {
		status := o.status(host)
		if len(status.Members) == amount && len(status.NextMembers) == 0 && status.Fresh {
			return true
		}
	}
	return false
}

// leaseHolderHost returns the host that holds the placement lease, according to a member.
func (o *operators) leaseHolderHost(member string) string {
	return hostOf(o.status(member).PlacementLeaseHolder)
}

// replicaState returns the state of a replica according to a member, or "" if the member does not list the replica.
func (o *operators) replicaState(host, id string) string {
	for _, listed := range o.status(host).Replicas {
		if listed.ID == id {
			return listed.State
		}
	}
	return ""
}
