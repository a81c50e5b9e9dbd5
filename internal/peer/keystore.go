package peer

import (
	"context"

	"ferryspar/internal/keystore"
)

// KeyUpdate notifies another control plane of a committed write. The register is sent without its value, which the receiver
// reads from the keystore.
type KeyUpdate struct {
	Register keystore.Register `json:"slot"`
}

// KeystoreTransport delivers keystore messages to members, and to the local acceptor without using the network.
type KeystoreTransport struct {
	// Self is the address of the local member, whose acceptor is Acceptor.
	Self     string
	Client   *Client
	Acceptor *keystore.Acceptor
}

// Send delivers the message to the member at the address and returns its reply. Members deduplicate messages by proposal
// number, so a message may be sent again after an error.
func (t *KeystoreTransport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address == t.Self {
		return t.Acceptor.Call(ctx, message)
	}
	var reply keystore.Reply
	err := t.Client.Call(ctx, MethodKeystore, address, message, &reply)
	return reply, err
}
