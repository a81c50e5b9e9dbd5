package hollow

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
)

// Latencies is a histogram of durations from a microsecond to a minute. It is safe for concurrent use.
type Latencies struct {
	lock   sync.Mutex
	values *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{values: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// Record records a duration, clamped to the range of the histogram.
func (s *Latencies) Record(value time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	_ = s.values.RecordValue(min(max(value.Microseconds(), 1), time.Minute.Microseconds()))
}

// Quantiles holds the number and the quantiles of latencies, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`
	MaxMs float64 `json:"maxMs"`
}

// Quantiles returns the quantiles of the durations recorded so far.
func (s *Latencies) Quantiles() Quantiles {
	s.lock.Lock()
	defer s.lock.Unlock()
	at := func(part float64) float64 { return float64(s.values.ValueAtQuantile(part)) / 1000 }
	return Quantiles{s.values.TotalCount(), at(50), at(95), at(99), float64(s.values.Max()) / 1000}
}

// Clients sends requests to every data plane and counts their outcomes.
type Clients struct {
	plan     Plan
	client   *http.Client
	first    *Latencies
	sent     atomic.Int64
	complete atomic.Int64
	rejected atomic.Int64
	broken   atomic.Int64
	running  sync.WaitGroup
}

// NewClients returns the clients of the plan. Run starts them.
func NewClients(plan Plan) *Clients {
	transport := peer.NewTransport(peer.HostNetwork{}, 2*time.Second, 10*time.Second, 64)
	return &Clients{plan: plan, client: &http.Client{Transport: transport}, first: NewLatencies()}
}

// zipfExponent is the exponent of the Zipf distribution from which clients choose models.
const zipfExponent = 1.1

// reference returns a random model, or one of its adapters in a tenth of the cases.
func (c *Clients) reference(rng *rand.Rand, models *rand.Zipf) string {
	model := int(models.Uint64())
	adapters := c.plan.adaptersOf(model)
	if adapters == 0 || rng.IntN(10) > 0 {
		return modelName(model)
	}
	return fmt.Sprintf("%s/a%d", modelName(model), 1+rng.IntN(adapters))
}

// Run starts a client for each data plane and returns. The clients run until the context ends.
func (c *Clients) Run(ctx context.Context) {
	if c.plan.RequestsPerS <= 0 {
		return
	}
	for index := range c.plan.DataPlanes {
		c.running.Go(func() { c.runAt(ctx, index) })
	}
}

// Wait waits until all clients and their requests have ended.
func (c *Clients) Wait() { c.running.Wait() }

// runAt sends requests to one data plane at exponentially distributed intervals.
func (c *Clients) runAt(ctx context.Context, index int) {
	rng := rand.New(rand.NewPCG(uint64(index), 1))
	models := rand.NewZipf(rng, zipfExponent, 4, uint64(c.plan.Models-1))
	number := 0
	for {
		wait := time.Duration(rng.ExpFloat64() / c.plan.RequestsPerS * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		number++
		attempt := fmt.Sprintf("h-%d-%d", index, number)
		reference := c.reference(rng, models)
		route := rng.IntN(c.plan.Routes)
		part := rng.IntN(1000)
		c.running.Go(func() { c.sendRequest(ctx, index, attempt, reference, route, part) })
	}
}

// sendRequest sends a request, reads the stream of its response and counts the outcome.
func (c *Clients) sendRequest(ctx context.Context, index int, attempt, reference string, route, part int) {
	address := c.plan.address(c.plan.dataHost(index), dataPort)
	target := fmt.Sprintf("http://%s/tell%04d/", address, route)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = routeHostname
	request.Header.Set(replica.HeaderAttemptID, attempt)
	request.Header.Set(replica.HeaderModel, reference)
	request.Header.Set(replica.HeaderTokenCount, fmt.Sprintf("%d,%d", c.plan.Tokens, c.plan.Tokens/4+1))
	half := c.plan.Tokens/2 + 1
	request.Header.Set(replica.HeaderPromptPrefix, fmt.Sprintf("%x:%d,%x:%d", 1000+part, half, part+index*1000+100000, half))
	request.Header.Set(replica.HeaderTimeRemaining, "20000")
	startedAt := time.Now()
	c.sent.Add(1)
	response, err := c.client.Do(request)
	if err != nil {
		c.count(ctx, &c.broken)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		c.count(ctx, &c.rejected)
		return
	}
	var firstByte [1]byte
	if _, err := io.ReadFull(response.Body, firstByte[:]); err == nil {
		c.first.Record(time.Since(startedAt))
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.count(ctx, &c.broken)
		return
	}
	c.complete.Add(1)
}

// count increments a counter, unless the run has ended.
func (c *Clients) count(ctx context.Context, count *atomic.Int64) {
	if ctx.Err() == nil {
		count.Add(1)
	}
}
