package controlplane

import (
	"context"

	"github.com/pkg/errors"

	"ferryspar/internal/controlplane/drillcontrol"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

// drillHost implements the node's side of its drillcontrol.Controller and drillcontrol.Forecaster.
type drillHost struct {
	node *Node
}

func (n *Node) drillConfig() drillcontrol.Config {
	return drillcontrol.Config{
		Self:  n.self,
		Zones: n.settings.Zones,
		Clock: n.clock,
		NewID: nonce,
	}
}

func (n *Node) newDrills() *drillcontrol.Controller {
	host := drillHost{n}
	return drillcontrol.NewController(n.drillConfig(), host, host, n.dataPlanes, n.members)
}

func (n *Node) newForecaster() *drillcontrol.Forecaster {
	return drillcontrol.NewForecaster(n.drillConfig(), drillHost{n})
}

// StartDrill starts a drill unless a check forbids it. It is safe for concurrent use.
func (n *Node) StartDrill(ctx context.Context, request drill.Request) (drill.Status, error) {
	return n.drills.Start(ctx, request)
}

// StopDrill ends the running drill. It is safe for concurrent use.
func (n *Node) StopDrill(ctx context.Context) (drill.Status, error) { return n.drills.Stop(ctx) }

// ReadDrill returns the status of the newest drill, confirmed by a majority. It is safe for concurrent use.
func (n *Node) ReadDrill(ctx context.Context) (drill.Status, error) { return n.drills.Read(ctx) }

// Forecast predicts the effects of losing a scope. It is safe for concurrent use.
func (n *Node) Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error) {
	return n.forecaster.Forecast(ctx, scope)
}

// State returns the part of the published state that drills and forecasts use.
func (h drillHost) State() drillcontrol.State {
	snapshot := h.node.publisher.Current()
	return drillcontrol.State{
		IsConfirmed:         snapshot.IsFresh(h.node.clock()),
		Revision:            snapshot.Revision,
		PackedConfiguration: snapshot.PackedConfiguration,
		Zones:               snapshot.Zones,
		Replicas:            snapshot.Replicas,
		Drill:               snapshot.Drill,
		LeaseHolder:         snapshot.LeaseHolder,
	}
}

// Members returns the addresses of the keystore's members.
func (h drillHost) Members() []string { return h.node.store.Membership().Current }

// MemberZones returns the zone of each known control-plane node.
func (h drillHost) MemberZones() map[string]string { return h.node.members.Zones() }

// DataPlaneZones returns the zone of each data plane that has not left.
func (h drillHost) DataPlaneZones() map[string]string { return h.node.dataPlanes.Zones(h.node.clock()) }

// HoldsLease reports whether this node holds the placement lease.
func (h drillHost) HoldsLease() bool { return h.node.scheduler.Lease().Holds() }

// IsSuspected reports whether data planes suspect that the replica has failed.
func (h drillHost) IsSuspected(replica string) bool {
	return h.node.scheduler.Demand().IsSuspected(replica)
}

// DemandRates returns the requests per second by "backend model".
func (h drillHost) DemandRates() map[string]float64 { return h.node.scheduler.Demand().Rates() }

// ReadDrill returns the record of the newest drill, confirmed by a majority.
func (h drillHost) ReadDrill(ctx context.Context) (drill.Record, error) {
	return readRecord[drill.Record](ctx, h.node, keystore.DrillKey)
}

// ChangeDrill replaces the record of the newest drill and announces the change.
func (h drillHost) ChangeDrill(ctx context.Context, decide func(current drill.Record) (drill.Record, error)) error {
	return changeRecord(ctx, h.node, keystore.DrillKey, func(current drill.Record) (drill.Record, error) {
		next, err := decide(current)
		if errors.Is(err, drillcontrol.ErrUnchanged) {
			return current, errUnchanged
		}
		return next, err
	})
}

// PublishForecastRequest publishes a request to all data planes, or withdraws the published one if request is nil.
func (h drillHost) PublishForecastRequest(request *drill.ForecastRequest) {
	h.node.publisher.Update(func(next *watch.Snapshot) bool {
		next.Forecast = request
		return true
	})
}

// PlanPlacement asks the lease holder, which may be this node, for the placement that it would plan.
func (h drillHost) PlanPlacement(ctx context.Context, leaseHolder string, request drill.ForecastRequest) drill.PlacementPlan {
	var plan drill.PlacementPlan
	switch leaseHolder {
	case "":
	case h.node.self:
		plan = h.node.handlePlanRequest(ctx, request)
	default:
		_ = h.node.peers.Call(ctx, peer.MethodForecastPlan, leaseHolder, request, &plan)
	}
	return plan
}
