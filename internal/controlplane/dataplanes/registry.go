// Package dataplanes keeps what a control-plane node knows of the data planes: which of them are in
// contact, which configuration and zone changes each applies, where its peers reach it, and how far it
// is with purging cached context.
//
// It sends nothing, stores nothing on disk, and decides nothing about membership of the keystore
// (internal/controlplane/members). A node that has just started knows no data plane; their next watch
// requests, and the heartbeats of the other control-plane nodes, tell it of them again. Start reading at
// Registry.
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
	// ContactWindow is how recently a data plane must have sent a watch request for the acknowledgement
	// of a change to wait for it.
	ContactWindow = 1500 * time.Millisecond
	// LiveWindow is how recently it must have done so to be listed as live.
	LiveWindow = 2 * ContactWindow
	// ExpireAfter is how long a data plane that is not heard of still counts. A node that has run for
	// longer has heard of every data plane that counts anywhere.
	ExpireAfter = 10 * time.Second
)

// Registry holds what is known of each data plane. Its lock guards all of it; any goroutine may call
// its methods.
type Registry struct {
	lock       sync.Mutex
	heartbeats *heartbeat.Registry
	// addresses are where other data planes reach those that lend quota.
	addresses map[string]string
	retention map[string]retention.DataPlaneView
}

// NewRegistry returns a registry that knows no data plane.
func NewRegistry() *Registry {
	return &Registry{
		heartbeats: heartbeat.NewRegistry(ExpireAfter),
		addresses:  map[string]string{},
		retention:  map[string]retention.DataPlaneView{},
	}
}

// RecordWatch records a watch request that was received at that moment.
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

// RecordContacts records that another control-plane node has heard of these data planes.
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

// Live lists the data planes, sorted, that sent a watch request within that window.
func (r *Registry) Live(now time.Time, window time.Duration) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.Live(now, window)
}

// Behind counts the data planes in contact that do not yet apply the revision or all zone changes.
func (r *Registry) Behind(now time.Time, revision int64, zoneChanges uint64) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.CountBehind(now, ContactWindow, revision, zoneChanges)
}

// Count returns how many data planes are known, those past their expiry removed, and the live ones
// that may be home of a tenant's limit.
func (r *Registry) Count(now time.Time) (int, *peer.Neighbours) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heartbeats.Count(now), r.neighbours(now)
}

// neighbours lists the live data planes that come into question as homes of tenants' limits. The caller
// holds the lock.
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

// CountedFor returns for how long the data plane has been counted without a gap, and false if it is
// not counted.
func (r *Registry) CountedFor(name string, now time.Time) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	since := r.heartbeats.FirstSeen(name)
	if since.IsZero() {
		return 0, false
	}
	return now.Sub(since), true
}

// Known lists the data planes that have not left, in any order.
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

// Zones returns the zone of each data plane that is counted and has not left.
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

// Silent returns the first of the named data planes that has not left and sent no watch request for
// longer than timeout, or "".
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

// RetentionViews copies how far each data plane is with purging cached context.
func (r *Registry) RetentionViews() map[string]retention.DataPlaneView {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.retention)
}
