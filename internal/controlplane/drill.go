package controlplane

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
)

const (
	// drillCheckInterval is how often the holder checks a running drill.
	drillCheckInterval = 400 * time.Millisecond
	// drillRenewInterval is how often the holder renews a running drill.
	drillRenewInterval = time.Second
)

// applyDrill adopts a committed drill record. A renewal does not put off the end that was promised
// first.
func (n *Node) applyDrill(register keystore.Register) {
	var record drill.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	now := n.clock()
	n.publisher.Update(func(next *watch.Snapshot) bool {
		state, changed := next.Drill.Adopt(record, now)
		next.Drill = state
		return changed
	})
}

// StartDrill begins a drill if nothing speaks against it. The same mark again returns the drill
// that it began. Any goroutine may call it.
func (n *Node) StartDrill(ctx context.Context, request drill.Request) (drill.Status, error) {
	if err := n.validateDrill(request); err != nil {
		return drill.Status{}, err
	}
	if request.IdempotencyKey == "" {
		request.IdempotencyKey = strconv.FormatUint(nonce(), 36)
	}
	var started drill.Record
	err := n.changeDrill(ctx, func(current keystore.Register) (any, error) {
		var previous drill.Record
		_ = json.Unmarshal(current.Value, &previous)
		view := n.publisher.Current().Drill
		if request.IdempotencyKey == previous.IdempotencyKey {
			started = previous
			return nil, errUnchanged
		}
		if previous.Running && (view.Number != previous.Number || view.IsRunning(n.clock())) {
			return nil, apierror.New(apierror.DrillInProgress, "drill %d of %s runs", previous.Number, previous.Scope)
		}
		next, err := request.NewRecord(previous)
		started = next
		return next, err
	})
	if err != nil {
		return drill.Status{}, err
	}
	logrus.WithFields(logrus.Fields{
		"number": started.Number,
		"scope":  started.Scope.String(),
		"share":  started.Share,
		"for_ms": started.ForMs,
	}).Info("drill begun")
	return n.drillStatus(started), nil
}

// validateDrill says why a drill may not begin: a bad request, state without confirmation, an
// evacuated zone, or no replicas inside or outside the scope.
func (n *Node) validateDrill(request drill.Request) error {
	if err := request.Scope.Validate(n.settings.Zones); err != nil {
		return err
	}
	if _, err := request.NewRecord(drill.Record{}); err != nil {
		return err
	}
	snapshot := n.publisher.Current()
	if !snapshot.IsFresh(n.clock()) {
		return apierror.New(apierror.NoMajority, "this daemon's state is not confirmed")
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			return apierror.New(apierror.DrillInProgress, "zone %s is evacuated", zone)
		}
	}
	inside, outside := 0, 0
	for _, replica := range snapshot.Replicas {
		switch {
		case replica.State == discovery.Draining:
		case request.Scope.Covers(replica.Zone, n.settings.Zones[replica.Zone]):
			inside++
		default:
			outside++
		}
	}
	if inside == 0 || outside == 0 {
		return apierror.New(apierror.InvalidDrill, "%d replicas in %s, %d outside", inside, request.Scope, outside)
	}
	return nil
}

// changeDrill changes the drill's key, again and again while the store is contended, within the
// bound of a change.
func (n *Node) changeDrill(ctx context.Context, decide func(current keystore.Register) (any, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		err := n.changeKey(bounded, keystore.DrillKey, decide)
		if err == nil || bounded.Err() != nil || !retryableKinds[apierror.From(err).Kind] {
			return err
		}
		nodesettings.Sleep(bounded, time.Duration(20+rand.IntN(80))*time.Millisecond)
	}
}

// retryableKinds holds the errors after which a change of the drill is tried again.
var retryableKinds = map[apierror.Kind]bool{apierror.UncertainWrite: true, apierror.NoMajority: true}

// endDrill ends the drill of the number, or any if it is 0, and stores why with the reports
// merged. It returns the record as it stands if the drill does not run.
func (n *Node) endDrill(ctx context.Context, number uint64, reason string, guard bool) (drill.Record, error) {
	var ended drill.Record
	err := n.changeDrill(ctx, func(current keystore.Register) (any, error) {
		ended = drill.Record{}
		_ = json.Unmarshal(current.Value, &ended)
		if !ended.Running || number > 0 && ended.Number != number {
			return nil, errUnchanged
		}
		ended = ended.End(reason, guard, drill.MergeReports(n.drillReportList(ended.Number)))
		return ended, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"number": ended.Number,
			"why":    ended.EndReason,
			"guard":  ended.EndedByGuard,
		}).Info("drill ended")
	}
	return ended, err
}

// StopDrill ends the running drill at the operator's request. Any goroutine may call it.
func (n *Node) StopDrill(ctx context.Context) (drill.Status, error) {
	ended, err := n.endDrill(ctx, 0, drill.EndedByOperator, false)
	return n.drillStatus(ended), err
}

// ReadDrill reads the last drill with a majority's confirmation. Any goroutine may call it.
func (n *Node) ReadDrill(ctx context.Context) (drill.Status, error) {
	register, err := n.readKey(ctx, keystore.DrillKey)
	if err != nil {
		return drill.Status{}, err
	}
	var record drill.Record
	_ = json.Unmarshal(register.Value, &record)
	return n.drillStatus(record), nil
}
