// Package eventbus delivers events between the components of one control-plane node.
//
// Events stay within the process, are not stored, and are never on the path of a request. Start reading at Bus.
package eventbus

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Topics. An event of TopicCommitted is a key that was written to a majority, an event of TopicPlacementChanged a change in the
// scheduler's view of the replicas.
const (
	TopicCommitted        = "committed"
	TopicPlacementChanged = "placement"
)

// bufferSize is the number of events that are buffered for a slow subscriber.
const bufferSize = 64

// Bus delivers what is published on a topic to every subscriber of the topic.
type Bus struct {
	channel *gochannel.GoChannel
}

// New returns a bus without subscribers.
func New() *Bus {
	return &Bus{channel: gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferSize}, watermill.NopLogger{})}
}

// Publish sends content as JSON to the subscribers of a topic.
func (b *Bus) Publish(topic string, content any) error {
	payload, err := json.Marshal(content)
	if err != nil {
		return err
	}
	return b.channel.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Subscribe calls handle with each payload published on a topic, one at a time, until ctx ends or the bus is closed.
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
