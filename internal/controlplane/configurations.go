package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

const (
	// changeTimeout is how long a change may take while a majority is in contact.
	changeTimeout = 2500 * time.Millisecond
	// unconfirmedTimeout is how long it may take while none is known to be: the caller should go on to
	// another daemon before its own patience of a second ends.
	unconfirmedTimeout = 700 * time.Millisecond
	// ackTimeout is how long an acknowledgement waits for data planes to take the change in.
	ackTimeout = 350 * time.Millisecond
)

// bounded limits an operator's call.
func (n *Node) withChangeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if !n.publisher.Current().IsFresh(n.clock()) {
		return context.WithTimeout(ctx, unconfirmedTimeout)
	}
	return context.WithTimeout(ctx, changeTimeout)
}

// ReplaceConfiguration carries out PUT of a whole configuration.
func (n *Node) ReplaceConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	change, err := n.state.Replace(bounded, condition, method, body)
	return n.announceConfiguration(ctx, condition, change, err)
}

// PatchConfiguration carries out PATCH of named items.
func (n *Node) PatchConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	change, err := n.state.Patch(bounded, condition, method, body)
	return n.announceConfiguration(ctx, condition, change, err)
}

func (n *Node) announceConfiguration(ctx context.Context, condition int64, change controlstate.Change, err error) error {
	if err != nil {
		logrus.WithError(err).WithField("condition", condition).Info("configuration change not acknowledged")
		return err
	}
	if change.Written {
		n.announceChange(ctx, change.Register)
		record, _ := controlstate.DecodeConfiguration(change.Register)
		logrus.WithField("revision", record.Revision).Info("configuration change acknowledged")
	}
	return nil
}

// ReadConfiguration carries out GET of the configuration in force.
func (n *Node) ReadConfiguration(ctx context.Context) (json.RawMessage, error) {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	return n.state.Configuration(bounded)
}

// DrainZone evacuates a zone, or ends that. Nothing is begun from the time `before` on.
func (n *Node) DrainZone(ctx context.Context, zone string, drained bool, before time.Time) error {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	change, err := n.state.DrainZone(bounded, zone, drained, before)
	if err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"zone": zone, "drained": drained}).Info("zone evacuation not acknowledged")
		return err
	}
	if change.Written {
		n.announceChange(ctx, change.Register)
		logrus.WithFields(logrus.Fields{"zone": zone, "drained": drained}).Info("zone evacuation acknowledged")
	}
	return nil
}

// announce applies a committed change here, tells the other control daemons, and waits for a
// while until the data planes in touch have taken it in.
func (n *Node) announceChange(ctx context.Context, register keystore.Register) {
	n.apply(register)
	_ = n.bus.Publish(eventbus.TopicCommitted, peer.KeyUpdate{Register: register.WithoutValue()})
	bounded, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		snapshot := n.publisher.Current()
		if n.dataPlanes.Behind(n.clock(), snapshot.Revision, snapshot.ZoneVersion) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-bounded.Done():
			return
		}
	}
}
