package controlplane

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/keystore"
	"ferryspar/internal/retention"
)

// SetRetention stores the policy on how long data planes and replicas may keep cached context. It takes effect once it is
// committed. Setting the current policy again changes nothing. SetRetention is safe for concurrent use.
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
		}).Info("context retention set")
	}
	return result, err
}

// StartPurge orders a purge of the cached context in the scope, and returns its status so far; the purge continues in the background.
// The purge names the data planes that this node knows, so a node that has just started rejects the order. Each call adds another
// purge. StartPurge is safe for concurrent use.
func (n *Node) StartPurge(ctx context.Context, scope retention.Scope) (retention.Status, error) {
	if err := scope.Check(); err != nil {
		return retention.Status{}, err
	}
	if n.clock().Sub(n.startedAt) < reliableCountDelay {
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
	}).Info("purge of cached context ordered")
	return added.Status(n.dataPlanes.RetentionViews()), nil
}

// ReadRetention returns the retention policy, confirmed by a majority. It is safe for concurrent use.
func (n *Node) ReadRetention(ctx context.Context) (retention.Policy, error) {
	return readRecord[retention.Policy](ctx, n, keystore.RetentionKey)
}

// ReadPurges returns the status of each purge, confirmed by a majority. It is safe for concurrent use.
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

// purgeUpdateTimeout bounds one update of a purge.
const purgeUpdateTimeout = time.Second

// updatePurge updates one purge, and reports whether the keystore operation succeeded.
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
