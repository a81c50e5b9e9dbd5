package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

const (
	// changeTimeout bounds a change while this node is in contact with a majority.
	changeTimeout = 2500 * time.Millisecond
	// unconfirmedTimeout bounds a change while this node is not known to be in contact with a majority. The caller should be able
	// to try another node before its own time-out of one second.
	unconfirmedTimeout = 700 * time.Millisecond
	// ackTimeout is how long an acknowledgement waits for data planes to apply the change. In large deployments it always waits
	// this long, because data planes acknowledge to their own control plane. The first acknowledgement after all control planes
	// were killed must come within a second, half of which is taken by their start.
	ackTimeout = 250 * time.Millisecond
	// ackCheckInterval is the interval between checks of whether the data planes have applied the change.
	ackCheckInterval = 10 * time.Millisecond
)

// slowChangeThreshold is the duration from which a change of a key is logged with its timings.
const slowChangeThreshold = 300 * time.Millisecond

// logSlowChange logs a change that was slow, contended or uncertain.
func logSlowChange(stats keystore.ChangeStats) {
	if stats.Duration < slowChangeThreshold && stats.Preempted == 0 && stats.Uncertain == 0 {
		return
	}
	logrus.WithFields(logrus.Fields{
		"key":          stats.Key,
		"duration_ms":  stats.Duration.Milliseconds(),
		"lock_wait_ms": stats.LockWait.Milliseconds(),
		"prepares":     stats.Prepares,
		"preempted":    stats.Preempted,
		"commits":      stats.Commits,
		"uncertain":    stats.Uncertain,
	}).Info("slow or contended keystore change")
}

// errUnchanged is returned by the decide function of changeRecord to leave the record unchanged.
var errUnchanged = errors.New("record needs no change")

// withChangeTimeout returns a context with the time-out of an operator's call.
func (n *Node) withChangeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if !n.publisher.Current().IsFresh(n.clock()) {
		return context.WithTimeout(ctx, unconfirmedTimeout)
	}
	return context.WithTimeout(ctx, changeTimeout)
}

// readRecord returns the record of a key, confirmed by a majority, or the zero value if there is none. Errors are of package
// apierror.
func readRecord[T any](ctx context.Context, n *Node, key string) (T, error) {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var record T
	register, err := n.store.Read(bounded, key)
	if err != nil {
		return record, controlstate.ToAPIError(err)
	}
	_ = json.Unmarshal(register.Value, &record)
	return record, nil
}

// changeRecord replaces the record of a key by the result of decide for the current record, and announces the change. If decide
// returns errUnchanged, the record is left unchanged and changeRecord returns nil. Errors of the keystore are translated to those
// of package apierror.
func changeRecord[T any](ctx context.Context, n *Node, key string, decide func(current T) (T, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := n.store.Change(bounded, key, func(register keystore.Register) (json.RawMessage, error) {
		var current T
		_ = json.Unmarshal(register.Value, &current)
		next, err := decide(current)
		if err != nil {
			return nil, err
		}
		return json.Marshal(next)
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	if err != nil {
		return controlstate.ToAPIError(err)
	}
	n.announce(ctx, register)
	return nil
}

// announce applies a committed change at this node, notifies the other control planes, and waits up to ackTimeout for the data
// planes in contact to apply it.
func (n *Node) announce(ctx context.Context, register keystore.Register) {
	n.publishCommitted(register)
	bounded, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	ticker := time.NewTicker(ackCheckInterval)
	defer ticker.Stop()
	for {
		snapshot := n.publisher.Current()
		if n.dataPlanes.CountBehind(n.clock(), snapshot.Revision, snapshot.ZoneVersion) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-bounded.Done():
			return
		}
	}
}

// publishCommitted applies a committed change at this node and triggers the notification of the other control planes.
func (n *Node) publishCommitted(register keystore.Register) {
	n.applier.Apply(register)
	_ = n.bus.Publish(eventbus.TopicCommitted, peer.KeyUpdate{Register: register.WithoutValue()})
}

// subscribeEvents subscribes handlers to the node's event bus until ctx is done.
func (n *Node) subscribeEvents(ctx context.Context) error {
	handlers := map[string]func(payload []byte){
		eventbus.TopicCommitted:        func(payload []byte) { n.notifyCommitted(ctx, payload) },
		eventbus.TopicPlacementChanged: func([]byte) { n.roster.RequestSend() },
	}
	for topic, handle := range handlers {
		if err := n.bus.Subscribe(ctx, topic, handle); err != nil {
			return errors.Wrapf(err, "subscribe to %s", topic)
		}
	}
	return nil
}

// notifyCommitted notifies all other control planes of a committed register. A node that misses the notification learns of the
// register in its next confirmation.
func (n *Node) notifyCommitted(ctx context.Context, payload []byte) {
	var update peer.KeyUpdate
	if json.Unmarshal(payload, &update) != nil {
		return
	}
	for _, address := range n.members.PeerAddresses() {
		go func() { _ = n.peers.Call(ctx, peer.MethodLearn, address, update, nil) }()
	}
}
