package integration

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	operatorHost     = "10.9.9.9"
	operatorSilence  = time.Second
	firstPause       = 100 * time.Millisecond
	longestPause     = time.Second
	callsAtOnce      = 8
	redirectsAllowed = 2
	zoneResendBound  = 4 * time.Second
)

type outcome int

const (
	unclear outcome = iota
	acknowledged
	refused
)

// operatorChange is one change as an operator means it; it is resent unchanged.
type operatorChange struct {
	name      string
	route     string
	method    string
	path      string
	body      string
	condition int
	revision  int
	zone      string
	drained   bool
}

// operatorCall is one try of a change at one daemon. status holds what the daemon said, also when the answer was lost.
type operatorCall struct {
	change  operatorChange
	host    string
	began   time.Time
	ended   time.Time
	status  int
	reason  string
	lost    bool
	outcome outcome
}

func (c operatorCall) String() string {
	return fmt.Sprintf("%s (If-Match %d) at %s, %s to %s: %d lost=%t %.120s", c.change.name, c.change.condition, c.host,
		c.began.Format("05.000"), c.ended.Format("05.000"), c.status, c.lost, c.reason)
}

// operators stands for the people and scripts that call the control daemons.
type operators struct {
	f         *fleet
	client    *http.Client
	hosts     []string
	lossShare float64
	places    chan struct{}
	lock      sync.Mutex
	draw      *rand.Rand
	record    []operatorCall
}

func newOperators(f *fleet, seed uint64, cores ...int) *operators {
	o := &operators{f: f, places: make(chan struct{}, callsAtOnce), draw: rand.New(rand.NewPCG(seed, 1))}
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

func configurationChange(condition, revision int, route, body string) operatorChange {
	return operatorChange{
		name: "add " + route, route: route, method: http.MethodPatch, path: "/ferryspar/config",
		body: body, condition: condition, revision: revision,
	}
}

func addRoute(condition, revision int, route string) operatorChange {
	body := fmt.Sprintf(`{"revision":%d,"upsert":{"routeTable":[%s]}}`, revision, routeNamed(route)[1:])
	return configurationChange(condition, revision, route, body)
}

func replaceRoute(condition, revision int, added, removed string) operatorChange {
	body := fmt.Sprintf(
		`{"revision":%d,"upsert":{"routeTable":[%s]},"remove":{"routeTable":[%q]}}`,
		revision,
		routeNamed(added)[1:],
		removed,
	)
	return configurationChange(condition, revision, added, body)
}

func evacuate(zone string, drained bool, occasion string) operatorChange {
	method := http.MethodDelete
	if drained {
		method = http.MethodPost
	}
	name := fmt.Sprintf("%s %s %s", method, zone, occasion)
	return operatorChange{name: name, method: method, path: "/ferryspar/drain-zone/" + zone, zone: zone, drained: drained}
}

func (o *operators) randomFloat() float64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.draw.Float64()
}

func (o *operators) pickMember() string { return o.pickOtherMember("") }

// pickOtherMember draws a daemon that is not the one that was tried last.
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

// attempt sends a change to one daemon once.
func (o *operators) attempt(change operatorChange, host string) operatorCall {
	o.places <- struct{}{}
	defer func() { <-o.places }()
	ctx, cancel := context.WithTimeout(context.Background(), operatorSilence)
	defer cancel()
	condition := ""
	if change.zone == "" {
		condition = fmt.Sprint(change.condition)
	}
	call := operatorCall{change: change, host: host, began: time.Now()}
	call.status, call.reason = o.request(ctx, change.method, host, change.path, change.body, condition)
	call.ended = time.Now()
	call.outcome = outcomeOf(call.status)
	if call.status != 0 && o.randomFloat() < o.lossShare {
		call.lost, call.outcome = true, unclear
	}
	o.lock.Lock()
	o.record = append(o.record, call)
	o.lock.Unlock()
	return call
}

func outcomeOf(status int) outcome {
	switch {
	case status >= 200 && status < 300:
		return acknowledged
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status < 400 || status >= 500:
		return unclear
	}
	return refused
}

// send repeats a change until there is a clear answer or the bound has passed.
func (o *operators) send(change operatorChange, bound time.Duration) outcome {
	began, pause, host := time.Now(), firstPause, ""
	for {
		host = o.pickOtherMember(host)
		call := o.attempt(change, host)
		if call.outcome != unclear || time.Since(began) > bound {
			return call.outcome
		}
		time.Sleep(pause)
		pause = min(2*pause, longestPause)
	}
}

func (o *operators) sendZone(zone string, drained bool, occasion string) outcome {
	return o.send(evacuate(zone, drained, occasion), zoneResendBound)
}

// read asks one daemon for the configuration.
func (o *operators) read(host string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorSilence)
	defer cancel()
	return o.request(ctx, http.MethodGet, host, "/ferryspar/config", "", "")
}

// readBack asks daemons until one answers, as at the end of a day.
func (o *operators) readBack(bound time.Duration) string {
	began := time.Now()
	for {
		status, content := o.read(o.pickMember())
		if status == http.StatusOK {
			return content
		}
		if time.Since(began) > bound {
			return fmt.Sprintf("nothing within %s, last %d %s", bound, status, content)
		}
		time.Sleep(firstPause)
	}
}
