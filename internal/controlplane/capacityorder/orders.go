// Package capacityorder orders at the platform how many replicas of each backend run in each zone.
//
// A subject is a backend in a zone. An order that was not answered may be carried out seconds later, after a newer one: the newest is
// then sent once more when that can no longer happen, so that the platform ends with what was ordered last, whether or not it checks
// fences. Start reading at Orders.
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
	// planInterval is how often the replicas are planned.
	planInterval = time.Second
	// lateEffect is how long after it was sent an order without an answer may be carried out.
	lateEffect = 15 * time.Second
)

// Backend is a backend whose replicas are ordered.
type Backend struct {
	Name   string
	Limits autoscale.Limits
	Zones  []autoscale.Zone
	Demand autoscale.Demand
}

// Source tells the state of the fleet, or false while it is not known well enough.
type Source interface {
	Backends(now time.Time) ([]Backend, bool)
}

// subject is one backend in one zone.
type subject struct{ backend, zone string }

// order is what the platform was told of a subject.
type order struct {
	// wanted is what was planned last, told what the platform has acknowledged, or what was listed before any order.
	wanted, told int
	// lateUntil is until when an order of another number may yet be carried out, zero for none.
	lateUntil time.Time
	// mustRepeat says that the acknowledged order must be sent again then.
	mustRepeat bool
}

// Controller is the singleton.Role of capacity. Its state belongs to the runner's goroutine.
type Controller struct {
	source    Source
	plannedAt time.Time
	planners  map[string]*autoscale.Planner
	orders    map[subject]*order
	// wanted is what Wanted returns.
	wanted atomic.Pointer[[]DesiredReplicas]
	// sending is the order that Next returned last, sentCount its number.
	sending   subject
	sentCount int
	sentAt    time.Time
}

// DesiredReplicas is how many replicas are planned for a backend in a zone.
type DesiredReplicas struct {
	Backend, Zone string
	Replicas      int
}

// DesiredReplicas returns what was planned last. Any goroutine may call it.
func (o *Controller) DesiredReplicas() []DesiredReplicas {
	if wanted := o.wanted.Load(); wanted != nil {
		return *wanted
	}
	return nil
}

func (o *Controller) publishWanted() {
	var wanted []DesiredReplicas
	for key, order := range o.orders {
		wanted = append(wanted, DesiredReplicas{Backend: key.backend, Zone: key.zone, Replicas: order.wanted})
	}
	o.wanted.Store(&wanted)
}

// New returns the role.
func New(source Source) *Controller {
	orders := &Controller{source: source}
	orders.Reset()
	return orders
}

// Name implements singleton.Role.
func (*Controller) Name() string { return "capacity" }

// Reset implements singleton.Role: what others have ordered meanwhile shows in the list.
func (o *Controller) Reset() {
	o.planners, o.orders = map[string]*autoscale.Planner{}, map[subject]*order{}
}

// Prepare implements singleton.Role.
func (o *Controller) Prepare(_ context.Context, now time.Time) {
	if now.Sub(o.plannedAt) < planInterval {
		return
	}
	o.plannedAt = now
	backends, known := o.source.Backends(now)
	if !known {
		return
	}
	for _, backend := range backends {
		o.plan(backend, now)
	}
	o.publishWanted()
}

func (o *Controller) plan(backend Backend, now time.Time) {
	planner := o.planners[backend.Name]
	if planner == nil {
		planner = autoscale.NewPlanner()
		o.planners[backend.Name] = planner
	}
	needed := backend.Demand.Replicas()
	planned := planner.Plan(backend.Zones, backend.Limits, needed, now)
	for _, zone := range backend.Zones {
		key := subject{backend.Name, zone.Name}
		if o.orders[key] == nil {
			o.orders[key] = &order{told: zone.Listed}
		}
		if current := o.orders[key]; current.wanted != planned[zone.Name] {
			current.wanted = planned[zone.Name]
			logrus.WithFields(logrus.Fields{
				"backend": backend.Name, "zone": zone.Name, "wanted": current.wanted, "listed": zone.Listed, "needed": needed,
			}).Info("replicas planned")
		}
	}
}

// Next implements singleton.Role.
func (o *Controller) Next(now time.Time) (singleton.Call, bool) {
	var due []subject
	for key, order := range o.orders {
		isRepeated := order.mustRepeat && now.After(order.lateUntil)
		if order.wanted != order.told || isRepeated {
			due = append(due, key)
		}
	}
	if len(due) == 0 {
		return singleton.Call{}, false
	}
	o.sending = slices.MinFunc(due, func(left, right subject) int {
		return cmp.Or(cmp.Compare(left.backend, right.backend), cmp.Compare(left.zone, right.zone))
	})
	o.sentCount, o.sentAt = o.orders[o.sending].wanted, now
	body, _ := json.Marshal(struct {
		Backend      string `json:"backend"`
		Zone         string `json:"zone"`
		DesiredCount int    `json:"desiredCount"`
	}{o.sending.backend, o.sending.zone, o.sentCount})
	return singleton.Call{Path: discovery.PathCapacity, Body: body}, true
}

// HandleOutcome implements singleton.Role.
func (o *Controller) HandleOutcome(outcome singleton.Outcome, now time.Time) {
	current := o.orders[o.sending]
	if current == nil {
		return
	}
	switch outcome {
	case singleton.OutcomeAccepted:
		if current.mustRepeat && now.After(current.lateUntil) {
			current.mustRepeat = false
		}
		current.told = o.sentCount
	case singleton.OutcomeUncertain:
		current.lateUntil, current.mustRepeat = now.Add(lateEffect), true
	case singleton.OutcomeRejected:
		current.told = o.sentCount // to order the same again would be rejected again
	}
}
