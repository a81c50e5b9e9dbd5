package controlplane

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/platform"
)

const (
	// drillEvery is how often the holder checks a running drill.
	drillEvery = 400 * time.Millisecond
	// drillRenewEvery is how often the holder renews a running drill.
	drillRenewEvery = time.Second
	// drillLease is how long a drill goes on without renewal.
	drillLease = 5 * time.Second
)

// applyDrill adopts a committed drill record. A renewal does not put off the end that was promised
// first.
func (d *Daemon) applyDrill(slot keystore.Register) {
	var record drill.Record
	if json.Unmarshal(slot.Value, &record) != nil {
		return
	}
	now := d.clock()
	d.publisher.Update(func(next *Snapshot) bool {
		held := next.Drill
		if record.Number < held.Number || record.Number == held.Number && record.Beat <= held.Beat && held.Number > 0 {
			return false
		}
		view := drillView{record, now.Add(time.Duration(record.LeftMs) * time.Millisecond), now.Add(drillLease)}
		if record.Number == held.Number && held.until.Before(view.until) {
			view.until = held.until
		}
		next.Drill = view
		return true
	})
}

// StartDrill begins a drill if nothing speaks against it. The same mark again returns the drill
// that it began. Any goroutine may call it.
func (d *Daemon) StartDrill(ctx context.Context, request drill.Request) (drill.Status, error) {
	if err := d.checkDrill(request); err != nil {
		return drill.Status{}, err
	}
	if request.Mark == "" {
		request.Mark = strconv.FormatUint(nonce(), 36)
	}
	var started drill.Record
	err := d.retryChange(ctx, func(current keystore.Register) (any, error) {
		var held drill.Record
		_ = json.Unmarshal(current.Value, &held)
		view := d.publisher.Current().Drill
		if request.Mark == held.Mark {
			started = held
			return nil, errUnchanged
		}
		if held.Running && (view.Number != held.Number || view.isRunning(d.clock())) {
			return nil, apierror.New(apierror.DrillInProgress, "drill %d of %s runs", held.Number, held.Scope)
		}
		next, err := request.Record(held)
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
	return d.drillStatus(started), nil
}

// checkDrill says why a drill may not begin: a bad request, state without confirmation, an
// evacuated zone, or no replicas inside or outside the scope.
func (d *Daemon) checkDrill(request drill.Request) error {
	if err := request.Scope.Check(d.settings.Zones); err != nil {
		return err
	}
	if _, err := request.Record(drill.Record{}); err != nil {
		return err
	}
	snapshot := d.publisher.Current()
	if !snapshot.IsFresh(d.clock()) {
		return apierror.New(apierror.NoMajority, "this daemon's state is not confirmed")
	}
	for zone, state := range snapshot.Zones {
		if state.Drained {
			return apierror.New(apierror.DrillInProgress, "zone %s is evacuated", zone)
		}
	}
	inside, outside := 0, 0
	for _, one := range snapshot.Replicas {
		switch {
		case one.State == platform.Draining:
		case request.Scope.Covers(one.Zone, d.settings.Zones[one.Zone]):
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

// retryChange changes the drill's key, again and again while the store is contended, within the
// bound of a change.
func (d *Daemon) retryChange(ctx context.Context, decide func(current keystore.Register) (any, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	for {
		err := d.changeContext(bounded, keystore.DrillKey, decide)
		if err == nil || bounded.Err() != nil || !retryable[apierror.From(err).Kind] {
			return err
		}
		nodesettings.Sleep(bounded, time.Duration(20+rand.IntN(80))*time.Millisecond)
	}
}

// retryable holds the errors after which a change of the drill is tried again.
var retryable = map[apierror.Kind]bool{apierror.UncertainWrite: true, apierror.NoMajority: true}

// finishDrill ends the drill of the number, or any if it is 0, and stores why with the reports
// merged. It returns the record as it stands if the drill does not run.
func (d *Daemon) finishDrill(ctx context.Context, number uint64, why string, guard bool) (drill.Record, error) {
	var ended drill.Record
	err := d.retryChange(ctx, func(current keystore.Register) (any, error) {
		ended = drill.Record{}
		_ = json.Unmarshal(current.Value, &ended)
		if !ended.Running || number > 0 && ended.Number != number {
			return nil, errUnchanged
		}
		ended = ended.End(why, guard, drill.MergeReports(d.reportList(ended.Number)))
		return ended, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"number": ended.Number,
			"why":    ended.Why,
			"guard":  ended.Guard,
		}).Info("drill ended")
	}
	return ended, err
}

// StopDrill ends the running drill at the operator's request. Any goroutine may call it.
func (d *Daemon) StopDrill(ctx context.Context) (drill.Status, error) {
	ended, err := d.finishDrill(ctx, 0, drill.EndedByOperator, false)
	return d.drillStatus(ended), err
}

// ReadDrill reads the last drill with a majority's confirmation. Any goroutine may call it.
func (d *Daemon) ReadDrill(ctx context.Context) (drill.Status, error) {
	slot, err := d.readKey(ctx, keystore.DrillKey)
	if err != nil {
		return drill.Status{}, err
	}
	var record drill.Record
	_ = json.Unmarshal(slot.Value, &record)
	return d.drillStatus(record), nil
}
