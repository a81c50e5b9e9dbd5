package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestSamples_AreLimitedAndExpireWithLedger(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	ledger := NewPrefixLedger(100, 0)
	request := func(route string, part uint64, at time.Time) *Request {
		return &Request{Route: route, Model: "m", Parts: []PromptPart{{part, 10}}, ArrivedAt: at}
	}
	sampled := func() int {
		total := 0
		for _, ring := range ledger.samples.routes {
			total += len(ring.requests)
		}
		return total
	}
	for number := range 40000 {
		ledger.addSample(request(fmt.Sprint("r", number%1000), uint64(number%2), now))
	}
	assert.Assert(t, sampled() <= 2*maxSamples+1000*minSamplesPerRoute && len(ledger.samples.routes) == 1000, "%d", sampled())
	before := sampled()
	ledger.Forget(func(_ string, part uint64) bool { return part == 1 }, now.Add(time.Second))
	assert.Assert(t, sampled() < before)
	for _, ring := range ledger.samples.routes {
		ring.each(func(request *Request) { assert.Equal(t, request.Parts[0].ID, uint64(0)) })
	}
	remaining := sampled()
	ledger.addSample(request("late", 1, now))
	assert.Equal(t, sampled(), remaining, "a request that arrived before a forget is not sampled after it")
	ledger.addSample(request("new", 0, now.Add(time.Minute)))
	ledger.SetTTL(30*time.Second, now.Add(time.Minute))
	assert.Equal(t, sampled(), 1)
}
