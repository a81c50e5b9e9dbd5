package retention

// NodeStatus is a data plane or replica that has something to forget.
type NodeStatus struct {
	Node  string `json:"node"`
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	State string `json:"state"`
}

// Status is what an operator sees of an order to forget.
type Status struct {
	Number   uint64       `json:"number"`
	Scope    Scope        `json:"scope"`
	Complete bool         `json:"complete"`
	Nodes    []NodeStatus `json:"nodes"`
}

// DataPlaneView is what is known of a data plane: the newest order it has carried out, and whether it
// left.
type DataPlaneView struct {
	Applied uint64
	Left    bool
}

// Status returns the status of the order, given the views of the data planes by name.
func (p Purge) Status(dataPlanes map[string]DataPlaneView) Status {
	status := Status{Number: p.Number, Scope: p.Scope, Complete: p.TargetsListed, Nodes: []NodeStatus{}}
	for _, name := range p.DataPlanes {
		node := NodeStatus{Node: name, Kind: "edge", State: Pending}
		if view, known := dataPlanes[name]; known {
			switch {
			case view.Applied >= p.Number:
				node.State = Done
			case view.Left:
				node.State = Gone
			}
		}
		status.Nodes = append(status.Nodes, node)
	}
	for _, target := range p.Targets {
		status.Nodes = append(status.Nodes, NodeStatus{Node: target.Replica, Kind: "replica", Model: target.Model, State: target.State})
	}
	for _, node := range status.Nodes {
		status.Complete = status.Complete && node.State != Pending
	}
	return status
}
