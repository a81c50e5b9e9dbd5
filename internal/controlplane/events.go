package controlplane

import (
	"context"
	"encoding/json"

	"ferryspar/internal/eventbus"
	"ferryspar/internal/peer"
)

func (n *Node) subscribeEvents(ctx context.Context) error {
	followers := map[string]func(payload []byte){
		eventbus.TopicCommitted:        func(payload []byte) { n.notifyCommitted(ctx, payload) },
		eventbus.TopicPlacementChanged: func([]byte) { n.roster.RequestSend() },
	}
	for topic, handle := range followers {
		if err := n.bus.Subscribe(ctx, topic, handle); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) notifyCommitted(ctx context.Context, payload []byte) {
	var update peer.KeyUpdate
	if json.Unmarshal(payload, &update) != nil {
		return
	}
	for _, address := range n.members.Others() {
		go func() { _ = n.peers.Call(ctx, peer.MethodLearn, address, update, nil) }()
	}
}
