// Package capacityorder tells the platform how many replicas of each backend to run in each zone.
//
// An order that was not answered may still take effect seconds later, after a newer one. The newest order is therefore sent
// once more when that can no longer happen, so that the platform ends up with the last order, whether or not it checks fences.
// Start reading at Controller.
package capacityorder

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/autoscale"
	"ferryspar/internal/controlplane/singleton"
	"ferryspar/internal/discovery"
)

const (
	// planInterval is the interval between plans of the replica counts.
	planInterval = time.Second
	// maxOrderDelay is how long an order that was not answered may still take effect.
	maxOrderDelay = 15 * time.Second
)

// Backend is a backend whose replica counts are planned.
type Backend struct {
	Name   string
	Limits autoscale.Limits
	Zones  []autoscale.Zone
	Demand autoscale.Demand
}

// Source provides the backends with their replicas and demand, or returns false while these are not known well enough.
type Source interface {
	Backends(now time.Time) ([]Backend, bool)
}

type target struct{ backend, zone string }

// order is the state of the orders for one backend in one zone.
type order struct {
	// desired is the count planned last. answered is the count that the platform last accepted or rejected, initially the
	// listed count.
	desired, answered int
	// uncertainUntil is until when an unanswered order may still take effect, zero if there is none.
	uncertainUntil time.Time
	// needsResend is set if the newest order must be sent again after uncertainUntil.
	needsResend bool
}

// Controller is the singleton.Role that orders capacity. Except for DesiredReplicas it is used only by the runner's goroutine.
type Controller struct {
	source    Source
	plannedAt time.Time
	planners  map[string]*autoscale.Planner
	orders    map[target]*order
	// desired is the result of DesiredReplicas.
	desired atomic.Pointer[[]DesiredReplicas]
	// sentTarget and sentCount are the target and count of the order that Next returned last.
	sentTarget target
	sentCount  int
	sentAt     time.Time
}

// DesiredReplicas is the planned number of replicas of a backend in a zone.
type DesiredReplicas struct {
	Backend, Zone string
	Replicas      int
}

// DesiredReplicas returns the most recently planned replica counts. Any goroutine may call it.
func (c *Controller) DesiredReplicas() []DesiredReplicas {
	if desired := c.desired.Load(); desired != nil {
		return *desired
	}
	return nil
}

func (c *Controller) publishDesired() {
	var desired []DesiredReplicas
	for key, order := range c.orders {
		desired = append(desired, DesiredReplicas{Backend: key.backend, Zone: key.zone, Replicas: order.desired})
	}
	c.desired.Store(&desired)
}

// New returns a controller that has planned and ordered nothing.
func New(source Source) *Controller {
	controller := &Controller{source: source}
	controller.Reset()
	return controller
}

// Name implements singleton.Role.
func (*Controller) Name() string { return "capacity" }

// Reset implements singleton.Role. Orders that other nodes have sent in the meantime are visible in the platform's list.
func (c *Controller) Reset() {
	c.planners, c.orders = map[string]*autoscale.Planner{}, map[target]*order{}
}

// Prepare implements singleton.Role.
func (c *Controller) Prepare(_ context.Context, now time.Time) {
	if now.Sub(c.plannedAt) < planInterval {
		return
	}
	c.plannedAt = now
	backends, known := c.source.Backends(now)
	if !known {
		return
	}
	for _, backend := range backends {
		c.plan(backend, now)
	}
	c.publishDesired()
}

func (c *Controller) plan(backend Backend, now time.Time) {
	planner := c.planners[backend.Name]
	if planner == nil {
		planner = autoscale.NewPlanner()
		c.planners[backend.Name] = planner
	}
	needed := backend.Demand.RequiredReplicas()
	planned := planner.Plan(backend.Zones, backend.Limits, needed, now)
	for _, zone := range backend.Zones {
		key := target{backend.Name, zone.Name}
		if c.orders[key] == nil {
			c.orders[key] = &order{answered: zone.ListedReplicas}
		}
		if current := c.orders[key]; current.desired != planned[zone.Name] {
			current.desired = planned[zone.Name]
			logrus.WithFields(logrus.Fields{
				"backend": backend.Name, "zone": zone.Name, "wanted": current.desired, "listed": zone.ListedReplicas, "needed": needed,
			}).Info("replicas planned")
		}
	}
}

// Next implements singleton.Role.
func (c *Controller) Next(now time.Time) (singleton.Call, bool) {
	var due []target
	for key, order := range c.orders {
		isResend := order.needsResend && now.After(order.uncertainUntil)
		if order.desired != order.answered || isResend {
			due = append(due, key)
		}
	}
	if len(due) == 0 {
		return singleton.Call{}, false
	}
	c.sentTarget = slices.MinFunc(due, func(left, right target) int {
		return cmp.Or(cmp.Compare(left.backend, right.backend), cmp.Compare(left.zone, right.zone))
	})
	c.sentCount, c.sentAt = c.orders[c.sentTarget].desired, now
	body, _ := json.Marshal(struct {
		Backend      string `json:"backend"`
		Zone         string `json:"zone"`
		DesiredCount int    `json:"desiredCount"`
	}{c.sentTarget.backend, c.sentTarget.zone, c.sentCount})
	return singleton.Call{Path: discovery.PathCapacity, Body: body}, true
}

// HandleOutcome implements singleton.Role.
func (c *Controller) HandleOutcome(outcome singleton.Outcome, now time.Time) {
	current := c.orders[c.sentTarget]
	if current == nil {
		return
	}
	switch outcome {
	case singleton.OutcomeAccepted:
		if current.needsResend && now.After(current.uncertainUntil) {
			current.needsResend = false
		}
		current.answered = c.sentCount
	case singleton.OutcomeUncertain:
		current.uncertainUntil, current.needsResend = now.Add(maxOrderDelay), true
	case singleton.OutcomeRejected:
		current.answered = c.sentCount // the same order would be rejected again
	}
}
