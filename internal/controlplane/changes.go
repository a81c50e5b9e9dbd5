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
	// changeTimeout is how long a change may take while a majority is in contact.
	changeTimeout = 2500 * time.Millisecond
	// unconfirmedTimeout is how long it may take while none is known to be: the caller should try another
	// node before its own timeout of a second.
	unconfirmedTimeout = 700 * time.Millisecond
	// ackTimeout is how long an acknowledgement waits for data planes to apply the change. At size it always waits as long, since data
	// planes acknowledge to their own control plane; the first acknowledgement after all control planes were killed is to come
	// within a second, of which their start takes half.
	ackTimeout = 250 * time.Millisecond
	// ackCheckInterval is how often it looks whether they do.
	ackCheckInterval = 10 * time.Millisecond
)

// slowChange is the duration from which a change of a key is logged with what it took.
const slowChange = 300 * time.Millisecond

// logSlowChange logs what a change took that was slow or met a rival.
func logSlowChange(effort keystore.ChangeStats) {
	if effort.Duration < slowChange && effort.Preempted == 0 && effort.Uncertain == 0 {
		return
	}
	logrus.WithFields(logrus.Fields{
		"key":          effort.Key,
		"duration_ms":  effort.Duration.Milliseconds(),
		"lock_wait_ms": effort.LockWait.Milliseconds(),
		"prepares":     effort.Prepares,
		"preempted":    effort.Preempted,
		"commits":      effort.Commits,
		"uncertain":    effort.Uncertain,
	}).Info("change of a key took long")
}

// errUnchanged is returned by a decision that leaves a record as it is.
var errUnchanged = errors.New("record needs no change")

// withChangeTimeout bounds a call of an operator.
func (n *Node) withChangeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if !n.publisher.Current().IsFresh(n.clock()) {
		return context.WithTimeout(ctx, unconfirmedTimeout)
	}
	return context.WithTimeout(ctx, changeTimeout)
}

// readRecord reads the record of a key with a majority's confirmation, zero if there is none. Errors are
// of package apierror.
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

// changeRecord replaces the record of a key by what decide makes of the present one, and announces that.
// decide returns errUnchanged to leave the record as it is, which is no error here. Errors of the
// keystore are translated to those of package apierror.
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

// announce applies a committed change here, notifies the other control planes, and waits for a while
// until the data planes in contact apply it.
func (n *Node) announce(ctx context.Context, register keystore.Register) {
	n.publishCommitted(register)
	bounded, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	ticker := time.NewTicker(ackCheckInterval)
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

// publishCommitted applies a committed change here and has the other control planes notified.
func (n *Node) publishCommitted(register keystore.Register) {
	n.applier.Apply(register)
	_ = n.bus.Publish(eventbus.TopicCommitted, peer.KeyUpdate{Register: register.WithoutValue()})
}

// subscribeEvents handles the events of the node's own bus until ctx ends.
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

// notifyCommitted tells all other control planes of a committed key. Who misses it learns of the key by
// its next confirmation.
func (n *Node) notifyCommitted(ctx context.Context, payload []byte) {
	var update peer.KeyUpdate
	if json.Unmarshal(payload, &update) != nil {
		return
	}
	for _, address := range n.members.Others() {
		go func() { _ = n.peers.Call(ctx, peer.MethodLearn, address, update, nil) }()
	}
}
