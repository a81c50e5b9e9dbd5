package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/controlplane/fleetsize"
	"ferryspar/internal/keystore"
)

// fleetSizeHost implements the node's side of its fleetsize.Recorder.
type fleetSizeHost struct {
	node *Node
}

func (n *Node) newFleetSizeRecorder() *fleetsize.Recorder {
	return fleetsize.NewRecorder(fleetSizeHost{n}, n.clock)
}

// IsRecorder reports whether the node holds the placement lease, as far as it knows, and is in contact with a majority. If two
// nodes believe that they are the recorder, the keystore serializes their writes.
func (h fleetSizeHost) IsRecorder(now time.Time) bool {
	snapshot := h.node.publisher.Current()
	return snapshot.LeaseHolder == h.node.self && snapshot.IsFresh(now) && !h.node.members.IsLeaving()
}

// Recorded returns the current record.
func (h fleetSizeHost) Recorded() fleetsize.Record { return h.node.publisher.Current().FleetSize }

// Observe returns what the node knows of the data planes.
func (h fleetSizeHost) Observe(now time.Time) fleetsize.Observation {
	count, neighbours := h.node.dataPlanes.CountWithNeighbours(now)
	return fleetsize.Observation{
		DataPlanes: count,
		Homes:      neighbours.List,
		Complete:   now.Sub(h.node.startedAt) > dataplanes.ExpireAfter,
	}
}

// Write replaces the record and notifies the other control planes.
func (h fleetSizeHost) Write(ctx context.Context, decide func(current fleetsize.Record) fleetsize.Record) error {
	bounded, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	register, err := h.node.store.Change(bounded, keystore.FleetSizeKey, func(register keystore.Register) (json.RawMessage, error) {
		var current fleetsize.Record
		_ = json.Unmarshal(register.Value, &current)
		return json.Marshal(decide(current))
	})
	if err != nil {
		return err
	}
	h.node.publishCommitted(register)
	return nil
}
