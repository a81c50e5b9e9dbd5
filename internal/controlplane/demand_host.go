package controlplane

import (
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// demandHost implements the node's side of its demand.Exchange.
type demandHost struct {
	node *Node
}

func (n *Node) newLoadExchange() *demand.Exchange {
	sender := demand.Sender{Member: n.self, Incarnation: n.incarnation}
	return demand.NewExchange(sender, demandHost{n}, n.peers, n.loads, n.scheduler.Demand().HandleSummary, n.usage, n.clock)
}

// OtherControlPlanes returns the addresses of the other known control planes.
func (h demandHost) OtherControlPlanes() []string { return h.node.members.PeerAddresses() }

// LeaseHolder returns the address of the placement lease's holder, or "" if none is known.
func (h demandHost) LeaseHolder() string { return h.node.publisher.Current().LeaseHolder }

// Roster returns this node's list of replicas.
func (h demandHost) Roster() []discovery.Replica { return h.node.roster.Replicas() }

// SubscribedReplicas returns the replicas that a data plane is subscribed to, ordered by ID.
func (h demandHost) SubscribedReplicas(dataPlane string) peer.ReplicaIDs {
	return h.node.endpoints.SubscribedReplicas(dataPlane)
}
