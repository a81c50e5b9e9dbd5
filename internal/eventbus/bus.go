// Package eventbus carries events between the parts of one control-plane node.
//
// Events stay in the process, aren't kept, and never are on the path of a request. Start reading
// at Bus.
package eventbus

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Topics. An event of TopicCommitted is a key that was written on a majority, one of
// TopicPlacementChanged a change of what the scheduler observes of replicas.
const (
	TopicCommitted        = "committed"
	TopicPlacementChanged = "placement"
)

// bufferSize is how many events wait for a slow subscriber to handle the earlier ones.
const bufferSize = 64

// Bus hands what is published on a topic to everyone who subscribed to it.
type Bus struct {
	channel *gochannel.GoChannel
}

// New returns a bus without subscribers.
func New() *Bus {
	return &Bus{channel: gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferSize}, watermill.NopLogger{})}
}

// Publish sends content as JSON to the subscribers of topic.
func (b *Bus) Publish(topic string, content any) error {
	payload, err := json.Marshal(content)
	if err != nil {
		return err
	}
	return b.channel.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Subscribe calls handle with each payload published on topic, one after another, until ctx ends
// or the bus is closed.
func (b *Bus) Subscribe(ctx context.Context, topic string, handle func(payload []byte)) error {
	messages, err := b.channel.Subscribe(ctx, topic)
	if err != nil {
		return err
	}
	go func() {
		for received := range messages {
			handle(received.Payload)
			received.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() { _ = b.channel.Close() }
