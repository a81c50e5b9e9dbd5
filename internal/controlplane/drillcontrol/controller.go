// Package drillcontrol runs drills and forecasts of the loss of a zone or region on a control-plane node: it
// starts and stops the drill at an operator's request, guards it while this node holds the placement lease,
// and collects the data planes' forecasts.
//
// The record of the newest drill is stored in the keystore; the reports of data planes are soft state that
// they send again to any other node. The decisions are made in internal/drill, and data planes route
// requests around the scope by themselves. Start reading at Controller.Start and Controller.Run, or at
// Forecaster.Forecast.
package drillcontrol

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// State is the part of the node's published state that drills and forecasts are based on.
type State struct {
	// IsConfirmed is set if a majority confirmed the state recently.
	IsConfirmed bool
	// Revision is the revision of the configuration in force, 0 before the first one; PackedConfiguration is
	// its compressed document.
	Revision            int64
	PackedConfiguration []byte
	// Zones holds the state of the zones' evacuations, by zone name.
	Zones    map[string]peer.ZoneState
	Replicas []discovery.Replica
	// Drill is the newest drill.
	Drill       drill.State
	LeaseHolder string
}

// evacuatedZone returns an evacuated zone, or "" if there is none.
func (s State) evacuatedZone() string {
	for zone, state := range s.Zones {
		if state.Drained {
			return zone
		}
	}
	return ""
}

// Node is the control-plane node that runs the drills. Its methods may be called from any goroutine.
type Node interface {
	State() State
	// Members returns the addresses of the keystore's members.
	Members() []string
	// HoldsLease reports whether this node holds the placement lease now.
	HoldsLease() bool
	// IsSuspected reports whether data planes suspect the replica.
	IsSuspected(replica string) bool
}

// Store stores the record of the newest drill in the keystore.
type Store interface {
	// ReadDrill reads the record, confirmed by a majority.
	ReadDrill(ctx context.Context) (drill.Record, error)
	// ChangeDrill replaces the record by the one that decide returns for the current one, and publishes it.
	// If decide returns ErrUnchanged, the record is kept and ChangeDrill returns nil.
	ChangeDrill(ctx context.Context, decide func(current drill.Record) (drill.Record, error)) error
}

// DataPlanes is the registry of data planes (dataplanes.Registry).
type DataPlanes interface {
	// Live returns the sorted data planes that sent a watch request within the window.
	Live(now time.Time, window time.Duration) []string
	// Known returns the data planes that have not left.
	Known() []string
	// Silent returns the first of the named data planes that has been silent for longer than timeout, or "".
	Silent(names []string, now time.Time, timeout time.Duration) string
}

// Members is the manager of the other control-plane nodes (members.Manager).
type Members interface {
	// Silent returns the first of the addresses that is a member and suspected, or "".
	Silent(addresses []string, now time.Time) string
}

// Config holds the settings of a Controller or Forecaster.
type Config struct {
	// Self is this node's address.
	Self string
	// Zones holds the region of each zone, by zone name.
	Zones map[string]string
	// Clock is the node's monotonic clock.
	Clock func() time.Time
	// NewID returns a random number that identifies a request.
	NewID func() uint64
}

// Controller runs drills. Any goroutine may call its methods.
type Controller struct {
	config     Config
	node       Node
	store      Store
	dataPlanes DataPlanes
	members    Members
	reports    reports
}

// NewController returns a controller without reports.
func NewController(config Config, node Node, store Store, dataPlanes DataPlanes, members Members) *Controller {
	return &Controller{
		config:     config,
		node:       node,
		store:      store,
		dataPlanes: dataPlanes,
		members:    members,
		reports:    newReports(),
	}
}

// changeTimeout bounds a change of the drill's record, including its retries.
const changeTimeout = 2500 * time.Millisecond

// RecordReport stores a data plane's report, unless the stored one is of a later drill.
func (c *Controller) RecordReport(dataPlane string, report drill.Report) {
	c.reports.record(dataPlane, report)
}

// Start starts a drill if the request is valid, no drill is running and no zone is evacuated. A request with
// the idempotency key of the newest drill returns that drill. Errors are from package apierror.
func (c *Controller) Start(ctx context.Context, request drill.Request) (drill.Status, error) {
	if err := c.validate(request); err != nil {
		return drill.Status{}, err
	}
	if request.IdempotencyKey == "" {
		request.IdempotencyKey = strconv.FormatUint(c.config.NewID(), 36)
	}
	var started drill.Record
	err := c.changeWithRetry(ctx, func(current drill.Record) (next drill.Record, err error) {
		if request.IdempotencyKey == current.IdempotencyKey {
			started = current
			return current, ErrUnchanged
		}
		if c.mayBeRunning(current) {
			return current, apierror.New(apierror.DrillInProgress, "drill %d of %s runs", current.Number, current.Scope)
		}
		started, err = request.NewRecord(current)
		return started, err
	})
	if err != nil {
		return drill.Status{}, err
	}
	logrus.WithFields(logrus.Fields{
		"number":      started.Number,
		"scope":       started.Scope.String(),
		"share":       started.Share,
		"duration_ms": started.DurationMs,
	}).Info("drill started")
	return c.status(started), nil
}

// mayBeRunning reports whether the drill of a committed record may still be running on any node. A drill that
// this node hasn't seen before counts as running, since its deadlines aren't known here.
func (c *Controller) mayBeRunning(record drill.Record) bool {
	state := c.node.State().Drill
	return record.Running && (state.Number != record.Number || state.IsRunning(c.config.Clock()))
}

// validate returns an error if a drill may not start: because of an invalid request, unconfirmed state, an
// evacuated zone, or no replicas inside or outside the scope.
func (c *Controller) validate(request drill.Request) error {
	if err := request.Scope.Validate(c.config.Zones); err != nil {
		return err
	}
	if _, err := request.NewRecord(drill.Record{}); err != nil {
		return err
	}
	state := c.node.State()
	if !state.IsConfirmed {
		return errUnconfirmed()
	}
	if zone := state.evacuatedZone(); zone != "" {
		return apierror.New(apierror.DrillInProgress, "zone %s is evacuated", zone)
	}
	inside, outside := c.countReplicas(state.Replicas, request.Scope)
	if inside == 0 || outside == 0 {
		return apierror.New(apierror.InvalidDrill, "%d replicas in %s, %d outside", inside, request.Scope, outside)
	}
	return nil
}

// countReplicas counts the replicas that are not draining, inside and outside a scope.
func (c *Controller) countReplicas(replicas []discovery.Replica, scope drill.Scope) (inside, outside int) {
	for _, replica := range replicas {
		switch {
		case replica.State == discovery.StateDraining:
		case scope.Covers(replica.Zone, c.config.Zones[replica.Zone]):
			inside++
		default:
			outside++
		}
	}
	return inside, outside
}

// Stop ends the running drill at the operator's request.
func (c *Controller) Stop(ctx context.Context) (drill.Status, error) {
	ended, err := c.end(ctx, anyDrill, endDecision{reason: drill.EndedByOperator})
	return c.status(ended), err
}

// Read reads the newest drill, confirmed by a majority.
func (c *Controller) Read(ctx context.Context) (drill.Status, error) {
	record, err := c.store.ReadDrill(ctx)
	if err != nil {
		return drill.Status{}, err
	}
	return c.status(record), nil
}

// anyDrill, passed as the number of a drill, stands for the running one.
const anyDrill = 0

// endDecision is the reason for which a drill ends, and whether the guard ends it rather than its deadline or the
// operator.
type endDecision struct {
	reason  string
	byGuard bool
}

// end ends the drill with the number, and stores the reason and the merged reports. It returns the stored
// record unchanged if that drill is not running.
func (c *Controller) end(ctx context.Context, number uint64, decision endDecision) (drill.Record, error) {
	var ended drill.Record
	err := c.changeWithRetry(ctx, func(current drill.Record) (drill.Record, error) {
		ended = current
		if !current.Running || number != anyDrill && current.Number != number {
			return current, ErrUnchanged
		}
		ended = current.End(decision.reason, decision.byGuard, drill.MergeReports(c.reports.listOfDrill(current.Number)))
		return ended, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"number":   ended.Number,
			"reason":   ended.EndReason,
			"by_guard": ended.EndedByGuard,
		}).Info("drill ended")
	}
	return ended, err
}

const (
	// minRetryBackoff and maxRetryBackoff bound the random delay before a change is retried.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 100 * time.Millisecond
)

// retryableKinds holds the kinds of errors after which a change of the drill is retried. A retry finds in the
// record whether the change was made already.
var retryableKinds = map[apierror.Kind]bool{
	apierror.UncertainWrite: true,
	apierror.NoMajority:     true,
}

// changeWithRetry changes the record. It retries after a retryable error until changeTimeout.
func (c *Controller) changeWithRetry(ctx context.Context, decide func(current drill.Record) (drill.Record, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		err := c.store.ChangeDrill(bounded, decide)
		if err == nil || bounded.Err() != nil || !retryableKinds[apierror.From(err).Kind] {
			return err
		}
		nodesettings.Sleep(bounded, minRetryBackoff+rand.N(maxRetryBackoff-minRetryBackoff))
	}
}
