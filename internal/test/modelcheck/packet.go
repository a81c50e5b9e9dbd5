package modelcheck

import (
	"fmt"
	"strings"

	"ferryspar/internal/keystore"
)

// packet is a message in transit: a request to a member, its reply to a proposer, or a local call of a proposer to the
// member on its own machine. Exactly one of the pointers is set.
type packet struct {
	Member   string
	Proposer int
	// Incarnation and Round say which round of which incarnation of the proposer the packet belongs to.
	Incarnation uint64
	Round       int

	Request *keystore.Message       `json:",omitempty"`
	Reply   *keystore.Reply         `json:",omitempty"`
	Install *keystore.CatchUpResult `json:",omitempty"`
	Learn   *keystore.Register      `json:",omitempty"`
}

// String returns the text of the packet in a trace.
func (p packet) String() string {
	switch {
	case p.Request != nil:
		return p.describeRequest()
	case p.Reply != nil:
		return p.describeReply()
	case p.Install != nil:
		return fmt.Sprintf("install of membership version %d at %s", p.Install.Membership.Version, p.Member)
	default:
		return fmt.Sprintf("learning of %s at %s", p.Learn.Accepted, p.Member)
	}
}

func (p packet) describeRequest() string {
	request := p.Request
	text := fmt.Sprintf("%s %s from %s to %s", request.Operation, request.Proposal, request.Sender, p.Member)
	if request.Operation == keystore.OperationAccept {
		value := strings.ReplaceAll(string(request.Value), `"`, "")
		text += fmt.Sprintf(" of %d=%s counting %v", request.Sequence, value, request.DiskIncarnations)
	}
	return text
}

func (p packet) describeReply() string {
	reply := p.Reply
	text := fmt.Sprintf("reply of %s (incarnation %d) to proposer %d: ", p.Member, reply.DiskIncarnation, p.Proposer)
	if reply.Granted {
		return text + "granted"
	}
	return text + string(reply.Rejection)
}
