package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
	"ferryspar/internal/retention"
)

// errUnchanged ends a decision on a call that asks for what is in force already.
var errUnchanged = errors.New("already so")

// applyPolicy adopts a committed retention policy that is newer than the one held.
func (n *Node) applyPolicy(register keystore.Register) {
	var policy retention.Policy
	if json.Unmarshal(register.Value, &policy) != nil {
		return
	}
	n.publisher.Update(func(next *watch.Snapshot) bool {
		if policy.Version <= next.Retention.Version {
			return false
		}
		next.Retention = policy
		return true
	})
}

// applyForgets adopts committed forget items that are not older than those held.
func (n *Node) applyForgets(register keystore.Register) {
	var record retention.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	n.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Number < next.Forgets.Number {
			return false
		}
		next.Forgets = record
		return true
	})
}

// changeKey changes a key by a decision over its current value and announces the result. A
// decision may return errUnchanged to leave the value as it is, which is no error here.
func (n *Node) changeKey(ctx context.Context, key string, decide func(current keystore.Register) (any, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := n.store.Change(bounded, key, func(current keystore.Register) (json.RawMessage, error) {
		value, err := decide(current)
		if err != nil {
			return nil, err
		}
		return json.Marshal(value)
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	if err != nil {
		return controlstate.Translate(err)
	}
	n.announceChange(ctx, register)
	return nil
}

// SetRetention stores how long data planes and replicas may keep context, in force once it is
// committed. Setting the value in force again changes nothing. Any goroutine may call it.
func (n *Node) SetRetention(ctx context.Context, requested retention.Policy) (retention.Policy, error) {
	if err := requested.Check(); err != nil {
		return requested, err
	}
	var result retention.Policy
	err := n.changeKey(ctx, keystore.RetentionKey, func(current keystore.Register) (any, error) {
		var stored retention.Policy
		_ = json.Unmarshal(current.Value, &stored)
		result = stored
		if stored.Version > 0 && stored.LifetimeMs == requested.LifetimeMs {
			return nil, errUnchanged
		}
		result = retention.Policy{Version: stored.Version + 1, LifetimeMs: requested.LifetimeMs}
		return result, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"life_ms": requested.LifetimeMs,
			"number":  result.Version,
		}).Info("retention of context set")
	}
	return result, err
}

// Forget stores that context in the scope is to be forgotten, and returns the item's state so far;
// the work goes on afterwards. The item names the data planes known here, so a daemon that has just
// started takes none. Asking again adds another item. Any goroutine may call it.
func (n *Node) Forget(ctx context.Context, scope retention.Scope) (retention.Status, error) {
	if err := scope.Check(); err != nil {
		return retention.Status{}, err
	}
	if n.clock().Sub(n.startedAt) < dataPlaneCountDelay {
		return retention.Status{}, apierror.New(apierror.NoMajority, "this daemon has just started and may not know all data planes")
	}
	dataPlanes := n.dataPlanes.Known()
	var added retention.Purge
	err := n.changeKey(ctx, keystore.ForgetKey, func(current keystore.Register) (any, error) {
		var record retention.Record
		_ = json.Unmarshal(current.Value, &record)
		var next retention.Record
		next, added = record.Add(scope, dataPlanes)
		return next, nil
	})
	if err != nil {
		return retention.Status{}, err
	}
	logrus.WithFields(logrus.Fields{
		"number": added.Number,
		"model":  scope.Model,
		"part":   scope.PromptPart,
		"edges":  len(dataPlanes),
	}).Info("context is to be forgotten")
	return added.Status(n.dataPlanes.RetentionViews()), nil
}

// ReadRetention reads the policy with a majority's confirmation.
func (n *Node) ReadRetention(ctx context.Context) (retention.Policy, error) {
	var policy retention.Policy
	register, err := n.readKey(ctx, keystore.RetentionKey)
	if err != nil {
		return policy, err
	}
	_ = json.Unmarshal(register.Value, &policy)
	return policy, nil
}

// ReadForgets reads the forget items with a majority's confirmation, with the state of each.
func (n *Node) ReadForgets(ctx context.Context) ([]retention.Status, error) {
	register, err := n.readKey(ctx, keystore.ForgetKey)
	if err != nil {
		return nil, err
	}
	var record retention.Record
	_ = json.Unmarshal(register.Value, &record)
	views := n.dataPlanes.RetentionViews()
	statuses := []retention.Status{}
	for _, item := range record.Purges {
		statuses = append(statuses, item.Status(views))
	}
	return statuses, nil
}

// readKey reads a key with a majority's confirmation, within the bound of a change.
func (n *Node) readKey(ctx context.Context, name string) (keystore.Register, error) {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := n.store.Read(bounded, name)
	return register, controlstate.Translate(err)
}

// changeForget changes one forget item, and reports whether the store did not fail.
func (n *Node) changeForget(ctx context.Context, number uint64, change func(item *retention.Purge) bool) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := n.changeKey(bounded, keystore.ForgetKey, func(current keystore.Register) (any, error) {
		var record retention.Record
		_ = json.Unmarshal(current.Value, &record)
		next, changed := record.UpdatePurge(number, change)
		if !changed {
			return nil, errUnchanged
		}
		return next, nil
	})
	return err == nil
}
