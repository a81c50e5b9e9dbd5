package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/event"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

const (
	// changeBound is how long a change may take while a majority is in contact.
	changeBound = 2500 * time.Millisecond
	// aloneBound is how long it may take while none is known to be: the caller should go on to
	// another daemon before its own patience of a second ends.
	aloneBound = 700 * time.Millisecond
	// ackBound is how long an acknowledgement waits for data planes to take the change in.
	ackBound = 350 * time.Millisecond
	// inTouch is how recently a data plane must have polled to be waited for.
	inTouch = 1500 * time.Millisecond
)

// bounded limits an operator's call.
func (d *Daemon) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if !d.publisher.Current().IsFresh(d.clock()) {
		return context.WithTimeout(ctx, aloneBound)
	}
	return context.WithTimeout(ctx, changeBound)
}

// ReplaceConfiguration carries out PUT of a whole configuration.
func (d *Daemon) ReplaceConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	bounded, cancel := d.bounded(ctx)
	defer cancel()
	change, err := d.state.Replace(bounded, condition, method, body)
	return d.acknowledgeConfiguration(ctx, condition, change, err)
}

// PatchConfiguration carries out PATCH of named items.
func (d *Daemon) PatchConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	bounded, cancel := d.bounded(ctx)
	defer cancel()
	change, err := d.state.Patch(bounded, condition, method, body)
	return d.acknowledgeConfiguration(ctx, condition, change, err)
}

func (d *Daemon) acknowledgeConfiguration(ctx context.Context, condition int64, change controlstate.Change, err error) error {
	if err != nil {
		logrus.WithError(err).WithField("condition", condition).Info("configuration change not acknowledged")
		return err
	}
	if change.Written {
		d.announce(ctx, change.Register)
		record, _ := controlstate.DecodeConfiguration(change.Register)
		logrus.WithField("revision", record.Revision).Info("configuration change acknowledged")
	}
	return nil
}

// ReadConfiguration carries out GET of the configuration in force.
func (d *Daemon) ReadConfiguration(ctx context.Context) (json.RawMessage, error) {
	bounded, cancel := d.bounded(ctx)
	defer cancel()
	return d.state.Configuration(bounded)
}

// DrainZone evacuates a zone, or ends that. Nothing is begun from the time `before` on.
func (d *Daemon) DrainZone(ctx context.Context, zone string, drained bool, before time.Time) error {
	bounded, cancel := d.bounded(ctx)
	defer cancel()
	change, err := d.state.DrainZone(bounded, zone, drained, before)
	if err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"zone": zone, "drained": drained}).Info("zone evacuation not acknowledged")
		return err
	}
	if change.Written {
		d.announce(ctx, change.Register)
		logrus.WithFields(logrus.Fields{"zone": zone, "drained": drained}).Info("zone evacuation acknowledged")
	}
	return nil
}

// announce applies a committed change here, tells the other control daemons, and waits for a
// while until the data planes in touch have taken it in.
func (d *Daemon) announce(ctx context.Context, slot keystore.Register) {
	d.apply(slot)
	_ = d.bus.Publish(event.Committed, peer.KeyUpdate{Register: slot.WithoutValue()})
	bounded, cancel := context.WithTimeout(ctx, ackBound)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		snapshot := d.publisher.Current()
		d.watching.Lock()
		behind := d.edges.CountBehind(d.clock(), inTouch, snapshot.Revision, snapshot.ZoneVersion)
		d.watching.Unlock()
		if behind == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-bounded.Done():
			return
		}
	}
}
