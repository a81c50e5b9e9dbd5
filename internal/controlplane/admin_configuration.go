package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/configchange"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// ReplaceConfiguration replaces the configuration if its revision is condition. It is safe for concurrent use.
func (n *Node) ReplaceConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	return n.configChanges.Change(ctx, configchange.Call{Method: method, Condition: condition, Body: body})
}

// PatchConfiguration changes named items of the configuration if its revision is condition. It is safe for concurrent use.
func (n *Node) PatchConfiguration(ctx context.Context, condition int64, method string, body []byte) error {
	return n.configChanges.Change(ctx, configchange.Call{Method: method, Condition: condition, Body: body})
}

// configChangeHost implements configchange.Host.
type configChangeHost struct{ node *Node }

// ConfigurationOwner implements configchange.Host.
func (h configChangeHost) ConfigurationOwner() string {
	return h.node.applier.LastWriter(keystore.ConfigurationKey)
}

// Outcome implements configchange.Host.
func (h configChangeHost) Outcome(call configchange.Call) (bool, error) {
	snapshot := h.node.publisher.Current()
	learned := controlstate.ConfigurationRecord{Revision: snapshot.Revision, AppliedCalls: snapshot.AppliedCalls}
	return learned.Outcome(call.Condition, call.Method, call.Body)
}

// IsReachable implements configchange.Host.
func (h configChangeHost) IsReachable(address string) bool {
	return h.node.members.IsReachable(address, h.node.clock())
}

func (n *Node) newConfigChanges() *configchange.Forwarder {
	return configchange.NewForwarder(configChangeHost{n}, n.peers, n.changeConfiguration, n.clock)
}

// changeConfiguration executes a call at this node. It continues when its caller gives up, so that the operator's resend of the
// same call finds the change committed.
func (n *Node) changeConfiguration(call configchange.Call) error {
	began := n.clock()
	ctx, cancel := n.withChangeTimeout(context.Background())
	defer cancel()
	change := n.state.Replace
	if call.Method == http.MethodPatch {
		change = n.state.Patch
	}
	result, err := change(ctx, call.Condition, call.Method, call.Body)
	decided := n.clock()
	entry := logrus.WithFields(logrus.Fields{
		"condition":   call.Condition,
		"duration_ms": decided.Sub(began).Milliseconds(),
		"in_contact":  n.publisher.Current().IsFresh(decided),
	})
	if err != nil {
		entry.WithError(err).Info("configuration change not acknowledged")
		return err
	}
	if !result.Written {
		entry.Info("configuration change acknowledged again")
		return nil
	}
	n.announce(ctx, result.Register)
	record, _ := controlstate.DecodeConfiguration(result.Register)
	entry.WithFields(logrus.Fields{
		"revision":    record.Revision,
		"announce_ms": n.clock().Sub(decided).Milliseconds(),
	}).Info("configuration change acknowledged")
	return nil
}

// ReadConfiguration returns the current configuration, confirmed by a majority. It is safe for concurrent use.
func (n *Node) ReadConfiguration(ctx context.Context) (json.RawMessage, error) {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	return n.state.Configuration(bounded)
}

// DrainZone starts or ends the evacuation of a zone. It starts nothing from the deadline on. It is safe for concurrent use.
func (n *Node) DrainZone(ctx context.Context, zone string, drained bool, deadline time.Time) error {
	bounded, cancel := n.withChangeTimeout(ctx)
	defer cancel()
	change, err := n.state.DrainZone(bounded, zone, drained, deadline)
	entry := logrus.WithFields(logrus.Fields{"zone": zone, "drained": drained})
	if err != nil {
		entry.WithError(err).Info("zone evacuation not acknowledged")
		return err
	}
	if change.Written {
		n.announce(ctx, change.Register)
		entry.Info("zone evacuation acknowledged")
	}
	return nil
}
