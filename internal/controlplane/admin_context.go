package controlplane

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/keystore"
	"ferryspar/internal/retention"
)

// SetRetention stores how long data planes and replicas may keep context, in force once it is committed.
// Setting the policy in force again changes nothing. Any goroutine may call it.
func (n *Node) SetRetention(ctx context.Context, requested retention.Policy) (retention.Policy, error) {
	if err := requested.Check(); err != nil {
		return requested, err
	}
	var result retention.Policy
	err := changeRecord(ctx, n, keystore.RetentionKey, func(current retention.Policy) (retention.Policy, error) {
		result = current
		if current.Version > 0 && current.LifetimeMs == requested.LifetimeMs {
			return current, errUnchanged
		}
		result = retention.Policy{Version: current.Version + 1, LifetimeMs: requested.LifetimeMs}
		return result, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"lifetime_ms": requested.LifetimeMs,
			"version":     result.Version,
		}).Info("retention of context set")
	}
	return result, err
}

// StartPurge stores that context in the scope is to be forgotten, and returns the state of that purge so far;
// the work goes on afterwards. The purge names the data planes known here, so a node that has just
// started takes none. Asking again adds another purge. Any goroutine may call it.
func (n *Node) StartPurge(ctx context.Context, scope retention.Scope) (retention.Status, error) {
	if err := scope.Check(); err != nil {
		return retention.Status{}, err
	}
	if n.clock().Sub(n.startedAt) < dataPlaneCountDelay {
		return retention.Status{}, apierror.New(apierror.NoMajority, "this daemon has just started and may not know all data planes")
	}
	dataPlanes := n.dataPlanes.Known()
	var added retention.Purge
	err := changeRecord(ctx, n, keystore.PurgeKey, func(current retention.Record) (next retention.Record, _ error) {
		next, added = current.Add(scope, dataPlanes)
		return next, nil
	})
	if err != nil {
		return retention.Status{}, err
	}
	logrus.WithFields(logrus.Fields{
		"number":      added.Number,
		"model":       scope.Model,
		"prompt_part": scope.PromptPart,
		"data_planes": len(dataPlanes),
	}).Info("context is to be forgotten")
	return added.Status(n.dataPlanes.RetentionViews()), nil
}

// ReadRetention reads the policy with a majority's confirmation. Any goroutine may call it.
func (n *Node) ReadRetention(ctx context.Context) (retention.Policy, error) {
	return readRecord[retention.Policy](ctx, n, keystore.RetentionKey)
}

// ReadPurges reads the purges with a majority's confirmation, with the state of each. Any goroutine may
// call it.
func (n *Node) ReadPurges(ctx context.Context) ([]retention.Status, error) {
	record, err := readRecord[retention.Record](ctx, n, keystore.PurgeKey)
	if err != nil {
		return nil, err
	}
	views := n.dataPlanes.RetentionViews()
	statuses := []retention.Status{}
	for _, purge := range record.Purges {
		statuses = append(statuses, purge.Status(views))
	}
	return statuses, nil
}

// purgeUpdateTimeout is how long one change of a purge may take.
const purgeUpdateTimeout = time.Second

// updatePurge changes one purge, and returns whether the keystore did not fail.
func (n *Node) updatePurge(ctx context.Context, number uint64, change func(purge *retention.Purge) bool) bool {
	bounded, cancel := context.WithTimeout(ctx, purgeUpdateTimeout)
	defer cancel()
	err := changeRecord(bounded, n, keystore.PurgeKey, func(current retention.Record) (retention.Record, error) {
		next, changed := current.UpdatePurge(number, change)
		if !changed {
			return current, errUnchanged
		}
		return next, nil
	})
	return err == nil
}
