package retention

// Values of NodeStatus.Kind.
const (
	kindDataPlane = "edge"
	kindReplica   = "replica"
)

// NodeStatus is the progress of a data plane, or of a model at a replica, with a purge.
type NodeStatus struct {
	Node  string `json:"node"`
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	State State  `json:"state"`
}

// Status is the status of a purge as shown to operators.
type Status struct {
	Number   uint64       `json:"number"`
	Scope    Scope        `json:"scope"`
	Complete bool         `json:"complete"`
	Nodes    []NodeStatus `json:"nodes"`
}

// DataPlaneView is what is known about a data plane: the number of the newest purge that it has applied, and whether it has left.
type DataPlaneView struct {
	Applied uint64
	Left    bool
}

// Status returns the status of the purge. dataPlanes holds the views of the data planes by name.
func (p Purge) Status(dataPlanes map[string]DataPlaneView) Status {
	status := Status{Number: p.Number, Scope: p.Scope, Complete: p.TargetsListed, Nodes: []NodeStatus{}}
	for _, name := range p.DataPlanes {
		status.Nodes = append(status.Nodes, NodeStatus{
			Node:  name,
			Kind:  kindDataPlane,
			State: p.dataPlaneState(dataPlanes[name]),
		})
	}
	for _, target := range p.Targets {
		status.Nodes = append(status.Nodes, NodeStatus{
			Node:  target.Replica,
			Kind:  kindReplica,
			Model: target.Model,
			State: target.State,
		})
	}
	for _, node := range status.Nodes {
		status.Complete = status.Complete && node.State != Pending
	}
	return status
}

// dataPlaneState returns the progress of a data plane. An unknown data plane has an empty view and is pending.
func (p Purge) dataPlaneState(view DataPlaneView) State {
	switch {
	case view.Applied >= p.Number:
		return Done
	case view.Left:
		return Gone
	}
	return Pending
}
