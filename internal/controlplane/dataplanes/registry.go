// Package dataplanes keeps a control-plane node's view of the data planes: which of them are in contact, which configuration and
// zone changes each has applied, at which address its peers reach it, and its progress in purging cached context.
//
// It sends no messages, stores nothing on disk and does not affect the membership of the keystore
// (internal/controlplane/members). A node that has just started knows no data planes; it learns of them from their next watch
// requests and from the heartbeats of the other control-plane nodes. Start reading at Registry.
package dataplanes

import (
	"maps"
	"sync"
	"time"

	"ferryspar/internal/heartbeat"
	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
	"ferryspar/internal/retention"
)

const (
	// ContactWindow is the time since its last watch request within which the acknowledgement of a change waits for a data plane.
	ContactWindow = 1500 * time.Millisecond
	// LiveWindow is the time since its last watch request within which a data plane is listed as live.
	LiveWindow = 2 * ContactWindow
	// ExpireAfter is how long a data plane is counted after it was last heard of. A node that has run for longer has heard of
	// every data plane that is counted at any node.
	ExpireAfter = 10 * time.Second
)

// Registry holds the state of each known data plane. It is safe for concurrent use.
type Registry struct {
	lock       sync.Mutex
	heartbeats *heartbeat.Registry
	// addresses holds, by name, the addresses at which other data planes reach those that lend quota.
	addresses map[string]string
	retention map[string]retention.DataPlaneView
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		heartbeats: heartbeat.NewRegistry(ExpireAfter),
		addresses:  map[string]string{},
		retention:  map[string]retention.DataPlaneView{},
	}
}

// RecordWatch records a watch request that was received at receivedAt.
func (r *Registry) RecordWatch(request peer.WatchRequest, receivedAt time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.heartbeats.Record(request.DataPlane, heartbeat.Heartbeat{
		ReportedAt:  receivedAt,
		Zone:        request.Zone,
		Revision:    request.Revision,
		ZoneVersion: request.ZoneVersion,
	})
	r.retention[request.DataPlane] = retention.DataPlaneView{Applied: request.AppliedPurge, Left: request.Leaving}
	if request.Address != "" {
		r.addresses[request.DataPlane] = request.Address
	}
}

// RecordContacts records that another control-plane node is in contact with the named data planes.
func (r *Registry) RecordContacts(names []string, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, name := range names {
		r.heartbeats.RecordContact(name, now)
		if _, known := r.retention[name]; !known {
			r.retention[name] = retention.DataPlaneView{}
		}
	}
}

// Live returns the sorted names of the data planes that sent a watch request within the window.
func (r *Registry) Live(now time.Time, window time.Duration) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.Live(now, window)
}

// CountBehind returns the number of data planes in contact that have not yet applied the revision or all zone changes.
func (r *Registry) CountBehind(now time.Time, revision int64, zoneChanges uint64) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.CountBehind(now, ContactWindow, revision, zoneChanges)
}

// CountWithNeighbours removes expired data planes, and returns the number of those left and the live ones that may be the home of
// a tenant's limit.
func (r *Registry) CountWithNeighbours(now time.Time) (int, *peer.Neighbours) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.Count(now), r.neighbours(now)
}

// neighbours returns the live data planes that are candidates for the homes of tenants' limits. The caller holds the lock.
func (r *Registry) neighbours(now time.Time) *peer.Neighbours {
	var names []string
	for _, name := range r.heartbeats.Live(now, LiveWindow) {
		if r.addresses[name] != "" {
			names = append(names, name)
		}
	}
	for name := range r.addresses {
		if r.heartbeats.FirstSeen(name).IsZero() {
			delete(r.addresses, name)
		}
	}
	var list []peer.Neighbour
	for _, name := range quota.DefaultParameters(quota.Bounds{}).Candidates(names) {
		list = append(list, peer.Neighbour{Name: name, Address: r.addresses[name]})
	}
	return peer.NewNeighbours(list)
}

// CountedFor returns for how long the data plane has been counted without interruption, and false if it is not counted.
func (r *Registry) CountedFor(name string, now time.Time) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	since := r.heartbeats.FirstSeen(name)
	if since.IsZero() {
		return 0, false
	}
	return now.Sub(since), true
}

// Known returns the names of the data planes that have not left, in unspecified order.
func (r *Registry) Known() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	names := make([]string, 0, len(r.retention))
	for name, view := range r.retention {
		if !view.Left {
			names = append(names, name)
		}
	}
	return names
}

// Zones returns the zone, by name, of each data plane that is counted and has not left.
func (r *Registry) Zones(now time.Time) map[string]string {
	r.lock.Lock()
	defer r.lock.Unlock()
	zones := r.heartbeats.Zones(now)
	for name, view := range r.retention {
		if view.Left {
			delete(zones, name)
		}
	}
	return zones
}

// Silent returns the first of the named data planes that has not left and has sent no watch request for longer than timeout, or
// "".
func (r *Registry) Silent(names []string, now time.Time, timeout time.Duration) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, name := range names {
		if !r.retention[name].Left && now.Sub(r.heartbeats.LastReport(name)) > timeout {
			return name
		}
	}
	return ""
}

// RetentionViews returns a copy of the data planes' progress in purging cached context, by name.
func (r *Registry) RetentionViews() map[string]retention.DataPlaneView {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.retention)
}
