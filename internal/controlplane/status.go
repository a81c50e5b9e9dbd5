package controlplane

import (
	"sort"

	"ferryspar/internal/operator"
)

func (d *Daemon) Status() operator.Fleet {
	bulletin := d.board.Read()
	members := d.store.Members()
	fleet := operator.Fleet{
		Member: d.self, Fresh: bulletin.Fresh, Revision: bulletin.Revision, Members: members.Present, Next: members.Next, Holder: bulletin.Holder,
		Control: bulletin.Control, Replicas: bulletin.Replicas, ListMs: d.clock().Sub(bulletin.RosterAt).Milliseconds(), Drained: []string{},
	}
	for area, state := range bulletin.Areas {
		if state.Drained {
			fleet.Drained = append(fleet.Drained, area)
		}
	}
	sort.Strings(fleet.Drained)
	d.watching.Lock()
	fleet.Edges = d.edges.Live(d.clock(), 2*inTouch)
	d.watching.Unlock()
	return fleet
}
