package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
	"ferryspar/internal/retention"
)

// errUnchanged ends a decision on a call that asks for what is in force already.
var errUnchanged = errors.New("already so")

// applyPolicy adopts a committed retention policy that is newer than the one held.
func (d *Daemon) applyPolicy(slot keystore.Register) {
	var policy retention.Policy
	if json.Unmarshal(slot.Value, &policy) != nil {
		return
	}
	d.publisher.Update(func(next *Snapshot) bool {
		if policy.Version <= next.Retention.Version {
			return false
		}
		next.Retention = policy
		return true
	})
}

// applyForgets adopts committed forget items that are not older than those held.
func (d *Daemon) applyForgets(slot keystore.Register) {
	var record retention.Record
	if json.Unmarshal(slot.Value, &record) != nil {
		return
	}
	d.publisher.Update(func(next *Snapshot) bool {
		if record.Number < next.Forgets.Number {
			return false
		}
		next.Forgets = record
		return true
	})
}

// changeContext changes a key by a decision over its current value and announces the result. A
// decision may return errUnchanged to leave the value as it is, which is no error here.
func (d *Daemon) changeContext(ctx context.Context, key string, decide func(current keystore.Register) (any, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Change(bounded, key, func(current keystore.Register) (json.RawMessage, error) {
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
	d.announce(ctx, slot)
	return nil
}

// SetRetention stores how long data planes and replicas may keep context, in force once it is
// committed. Setting the value in force again changes nothing. Any goroutine may call it.
func (d *Daemon) SetRetention(ctx context.Context, wanted retention.Policy) (retention.Policy, error) {
	if err := wanted.Check(); err != nil {
		return wanted, err
	}
	var result retention.Policy
	err := d.changeContext(ctx, keystore.RetentionKey, func(current keystore.Register) (any, error) {
		var held retention.Policy
		_ = json.Unmarshal(current.Value, &held)
		result = held
		if held.Version > 0 && held.LifetimeMs == wanted.LifetimeMs {
			return nil, errUnchanged
		}
		result = retention.Policy{Version: held.Version + 1, LifetimeMs: wanted.LifetimeMs}
		return result, nil
	})
	if err == nil {
		logrus.WithFields(logrus.Fields{
			"life_ms": wanted.LifetimeMs,
			"number":  result.Version,
		}).Info("retention of context set")
	}
	return result, err
}

// Forget stores that context in the scope is to be forgotten, and returns the item's state so far;
// the work goes on afterwards. The item names the data planes known here, so a daemon that has just
// started takes none. Asking again adds another item. Any goroutine may call it.
func (d *Daemon) Forget(ctx context.Context, scope retention.Scope) (retention.Status, error) {
	if err := scope.Check(); err != nil {
		return retention.Status{}, err
	}
	if d.clock().Sub(d.started) < settleTime {
		return retention.Status{}, apierror.New(apierror.NoMajority, "this daemon has just started and may not know all data planes")
	}
	edges := d.knownEdges()
	var added retention.Purge
	err := d.changeContext(ctx, keystore.ForgetKey, func(current keystore.Register) (any, error) {
		var record retention.Record
		_ = json.Unmarshal(current.Value, &record)
		var next retention.Record
		next, added = record.Add(scope, edges)
		return next, nil
	})
	if err != nil {
		return retention.Status{}, err
	}
	logrus.WithFields(logrus.Fields{
		"number": added.Number,
		"model":  scope.Model,
		"part":   scope.PromptPart,
		"edges":  len(edges),
	}).Info("context is to be forgotten")
	return added.Status(d.edgeViews()), nil
}

// ReadRetention reads the policy with a majority's confirmation.
func (d *Daemon) ReadRetention(ctx context.Context) (retention.Policy, error) {
	var policy retention.Policy
	slot, err := d.readKey(ctx, keystore.RetentionKey)
	if err != nil {
		return policy, err
	}
	_ = json.Unmarshal(slot.Value, &policy)
	return policy, nil
}

// ReadForgets reads the forget items with a majority's confirmation, with the state of each.
func (d *Daemon) ReadForgets(ctx context.Context) ([]retention.Status, error) {
	slot, err := d.readKey(ctx, keystore.ForgetKey)
	if err != nil {
		return nil, err
	}
	var record retention.Record
	_ = json.Unmarshal(slot.Value, &record)
	views := d.edgeViews()
	statuses := []retention.Status{}
	for _, item := range record.Purges {
		statuses = append(statuses, item.Status(views))
	}
	return statuses, nil
}

// readKey reads a key with a majority's confirmation, within the bound of a change.
func (d *Daemon) readKey(ctx context.Context, name string) (keystore.Register, error) {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Read(bounded, name)
	return slot, controlstate.Translate(err)
}

// knownEdges are the data planes that have not left.
func (d *Daemon) knownEdges() []string {
	d.watching.Lock()
	defer d.watching.Unlock()
	names := make([]string, 0, len(d.remembered))
	for name, view := range d.remembered {
		if !view.Left {
			names = append(names, name)
		}
	}
	return names
}

// edgeViews copies what is known of each data plane's forgetting.
func (d *Daemon) edgeViews() map[string]retention.DataPlaneView {
	d.watching.Lock()
	defer d.watching.Unlock()
	views := make(map[string]retention.DataPlaneView, len(d.remembered))
	for name, view := range d.remembered {
		views[name] = view
	}
	return views
}

// storeForget changes one forget item, and reports whether the store did not fail.
func (d *Daemon) storeForget(ctx context.Context, number uint64, change func(item *retention.Purge) bool) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := d.changeContext(bounded, keystore.ForgetKey, func(current keystore.Register) (any, error) {
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
