package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
)

// queuedFor returns a request of a tenant; a higher number arrives later.
func queuedFor(tenant configuration.TenantNumber, priority, number int) *Request {
	arrived := noon.Add(time.Duration(number) * time.Millisecond)
	return &Request{Tenant: tenant, Priority: priority, ArrivedAt: arrived, Deadline: arrived.Add(time.Second)}
}

// serveAll removes the requests of a queue in order and returns their tenants.
func serveAll(queue *waitQueue) []configuration.TenantNumber {
	var order []configuration.TenantNumber
	for _, request := range queue.requests {
		queue.fairness.advance(request.startTag)
		order = append(order, request.Tenant)
	}
	queue.requests = nil
	return order
}

func TestWaitQueue_TenantBurstWaitsBehindOtherTenants(t *testing.T) {
	queue := &waitQueue{}
	for number := range 50 {
		queue.insert(queuedFor(1, 1, number))
	}
	queue.insert(queuedFor(2, 1, 50))
	queue.insert(queuedFor(3, 1, 51))
	queue.insert(queuedFor(2, 1, 52))
	order := serveAll(queue)
	assert.DeepEqual(t, order[:6], []configuration.TenantNumber{1, 2, 3, 1, 2, 1})
}

func TestWaitQueue_PriorityPrecedesFairness(t *testing.T) {
	queue := &waitQueue{}
	queue.insert(queuedFor(2, 2, 0))
	for number := range 5 {
		queue.insert(queuedFor(1, 1, number+1))
	}
	assert.DeepEqual(t, serveAll(queue), []configuration.TenantNumber{1, 1, 1, 1, 1, 2})
}

func TestWaitQueue_IdleTenantAccumulatesNoCredit(t *testing.T) {
	queue := &waitQueue{}
	for number := range 20 {
		queue.insert(queuedFor(1, 1, number))
	}
	serveAll(queue)
	for number := range 4 {
		queue.insert(queuedFor(1, 1, 20+number))
		queue.insert(queuedFor(2, 1, 20+number))
	}
	order := serveAll(queue)
	second := 0
	for _, tenant := range order[:4] {
		if tenant == 2 {
			second++
		}
	}
	assert.Assert(t, second <= 3, "%v", order)
}

func TestWaitQueue_OrdersByDeadlineWithoutTenants(t *testing.T) {
	queue := &waitQueue{}
	late, early := queuedFor(configuration.NoTenant, 1, 9), queuedFor(configuration.NoTenant, 1, 1)
	queue.insert(late)
	queue.insert(early)
	assert.Assert(t, queue.requests[0] == early)
}

func TestWaitQueue_LowestRequestIsOfBurst(t *testing.T) {
	queue := &waitQueue{}
	for number := range 10 {
		queue.insert(queuedFor(1, 1, number))
	}
	queue.insert(queuedFor(2, 1, 99))
	assert.Equal(t, queue.lowest().Tenant, configuration.TenantNumber(1))
}

func TestFairQueue_ReleasedStartTagsDoNotCount(t *testing.T) {
	queue := &fairQueue{}
	for range 30 {
		queue.startTag(1)
		queue.release(1)
	}
	assert.Equal(t, queue.startTag(1), 0.0)
	for tenant := range configuration.TenantNumber(3 * maxTrackedTenants) {
		queue.advance(queue.startTag(tenant + 1))
		queue.virtualTime++
	}
	assert.Assert(t, len(queue.nextStart) <= maxTrackedTenants)
}
