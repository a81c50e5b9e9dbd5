package peer

import (
	"context"

	"ferryspar/internal/keystore"
)

// KeyUpdate notifies another control plane of a committed key. The register comes without its value, which the receiver
// reads from the keystore.
type KeyUpdate struct {
	Register keystore.Register `json:"slot"`
}

// KeystoreTransport carries messages of the keystore to its members, and to the node's own acceptor without the network.
type KeystoreTransport struct {
	// Self is the address of the own member, which Acceptor stands for.
	Self     string
	Client   *Client
	Acceptor *keystore.Acceptor
}

// Send gives the message to the member at the address and returns its reply. Members distinguish messages by their
// proposal, so a message may be sent again after an error.
func (t *KeystoreTransport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address == t.Self {
		return t.Acceptor.Call(ctx, message)
	}
	var reply keystore.Reply
	err := t.Client.Call(ctx, MethodKeystore, address, message, &reply)
	return reply, err
}
