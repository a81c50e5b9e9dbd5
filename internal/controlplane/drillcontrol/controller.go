// Package drillcontrol runs drills of the loss of a zone or region, and forecasts of it, for one
// control-plane node: it starts and stops the drill at an operator's request, guards it while this node
// holds the placement lease, and gathers the data planes' forecasts.
//
// The record of the newest drill is kept in the keystore; the reports of data planes are soft state that
// they send again to any other node. The decisions themselves are in internal/drill, and data planes keep
// requests away from the scope on their own. Start reading at Controller.Start and Controller.Run, or at
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

// State is the part of the node's published state that drills and forecasts go by.
type State struct {
	// IsConfirmed tells whether a majority confirmed the state lately.
	IsConfirmed bool
	// Revision is that of the configuration in force, 0 before the first one; PackedConfiguration is its
	// compressed document.
	Revision            int64
	PackedConfiguration []byte
	// Zones are the zones' evacuations by name.
	Zones    map[string]peer.ZoneState
	Replicas []discovery.Replica
	// Drill is the newest drill.
	Drill       drill.State
	LeaseHolder string
}

// evacuatedZone returns a zone that is evacuated, or "".
func (s State) evacuatedZone() string {
	for zone, state := range s.Zones {
		if state.Drained {
			return zone
		}
	}
	return ""
}

// Node is the control-plane node that drills are run for. Its methods may be called from any goroutine.
type Node interface {
	State() State
	// Members lists the addresses of the keystore's members.
	Members() []string
	// HoldsLease tells whether this node holds the placement lease now.
	HoldsLease() bool
	// IsSuspected tells whether data planes suspect the replica.
	IsSuspected(replica string) bool
}

// Store keeps the record of the newest drill in the keystore.
type Store interface {
	// ReadDrill reads the record with a majority's confirmation.
	ReadDrill(ctx context.Context) (drill.Record, error)
	// ChangeDrill replaces the record by what decide makes of the present one, and announces it. decide
	// returns ErrUnchanged to leave it as it is, which is no error here.
	ChangeDrill(ctx context.Context, decide func(current drill.Record) (drill.Record, error)) error
}

// DataPlanes is what is known of the data planes (dataplanes.Registry).
type DataPlanes interface {
	Live(now time.Time, window time.Duration) []string
	// Known lists those that have not left.
	Known() []string
	// Silent returns the first of those named that has been silent for longer than timeout, or "".
	Silent(names []string, now time.Time, timeout time.Duration) string
}

// Members is what is known of the other control-plane nodes (members.Manager).
type Members interface {
	// Silent returns the first of the addresses that is a member and suspected, or "".
	Silent(addresses []string, now time.Time) string
}

// Config is what a controller needs beside its collaborators.
type Config struct {
	// Self is this node's address.
	Self string
	// Zones holds the region of each zone by name.
	Zones map[string]string
	// Clock is the node's steady clock.
	Clock func() time.Time
	// NewID returns a random number that names a request.
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

// changeTimeout is how long a change of the drill may take, its retries included.
const changeTimeout = 2500 * time.Millisecond

// RecordReport keeps a data plane's report, unless one of a later drill is known.
func (c *Controller) RecordReport(dataPlane string, report drill.Report) {
	c.reports.record(dataPlane, report)
}

// Start starts a drill if nothing speaks against it. A request with the idempotency key of the newest
// drill returns that drill. Errors are of package apierror.
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
		if c.mayRun(current) {
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

// mayRun tells whether the drill of a committed record may go on somewhere. A record that this node has
// not seen before counts as running, since its deadlines aren't known here.
func (c *Controller) mayRun(record drill.Record) bool {
	state := c.node.State().Drill
	return record.Running && (state.Number != record.Number || state.IsRunning(c.config.Clock()))
}

// validate returns why a drill may not start: an invalid request, state without confirmation, an
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
		case replica.State == discovery.Draining:
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
	ended, err := c.end(ctx, anyDrill, verdict{reason: drill.EndedByOperator})
	return c.status(ended), err
}

// Read reads the newest drill with a majority's confirmation.
func (c *Controller) Read(ctx context.Context) (drill.Status, error) {
	record, err := c.store.ReadDrill(ctx)
	if err != nil {
		return drill.Status{}, err
	}
	return c.status(record), nil
}

// anyDrill stands for the number of whichever drill runs.
const anyDrill = 0

// verdict is why a drill ends, and whether the guard ends it rather than its own time or the operator.
type verdict struct {
	reason  string
	byGuard bool
}

// end ends the drill of the number and stores why, with the reports merged. It returns the record as it
// stands if that drill does not run.
func (c *Controller) end(ctx context.Context, number uint64, verdict verdict) (drill.Record, error) {
	var ended drill.Record
	err := c.changeWithRetry(ctx, func(current drill.Record) (drill.Record, error) {
		ended = current
		if !current.Running || number != anyDrill && current.Number != number {
			return current, ErrUnchanged
		}
		ended = current.End(verdict.reason, verdict.byGuard, drill.MergeReports(c.reports.listOf(current.Number)))
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
	// minRetryBackoff and maxRetryBackoff bound the random wait before a change is retried.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 100 * time.Millisecond
)

// retryableKinds are the errors after which a change of the drill is retried: its record tells when it
// was changed already.
var retryableKinds = map[apierror.Kind]bool{
	apierror.UncertainWrite: true,
	apierror.NoMajority:     true,
}

// changeWithRetry changes the record, again and again while the keystore is contended.
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
