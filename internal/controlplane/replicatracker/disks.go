package replicatracker

import (
	"maps"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// diskRetention is how long the disk of a replica that no list shows is remembered, which is well beyond the longest absence
// of a restarting replica.
const diskRetention = 10 * time.Minute

// diskKey identifies the disk that a listed replica may have: a replica that restarts at its address may keep its disk,
// whereas a replica of another backend that is assigned the address later has a disk of its own.
type diskKey struct {
	backend string
	address string
}

func diskOf(listed discovery.Replica) diskKey {
	return diskKey{backend: listed.Backend, address: listed.Address}
}

// diskModels is the set of models on one disk. The set is replaced rather than modified, because planner inputs keep
// references to it.
type diskModels struct {
	models   map[string]bool
	listedAt time.Time
}

// disk holds the models on the disk of one listed replica.
type disk struct {
	// certain holds the models that this incarnation of the replica was itself seen to have loaded.
	certain map[string]bool
	// possible holds the models that any incarnation at its address was seen to have loaded, including the certain ones.
	possible map[string]bool
}

// DiskInventory records which models the replicas have loaded, since their disks hold the weights of these models. Only what
// an incarnation was itself seen to have loaded is certain: the address does not identify the disk, since a replica may come
// back there with its disk, with an empty one or with part of its contents (docs/questions.md). The inventory outlives lease
// grants. It is safe for concurrent use.
type DiskInventory struct {
	lock sync.Mutex
	// byIncarnation is keyed by replica id, which is new at each start of the replica.
	byIncarnation map[string]diskModels
	byAddress     map[diskKey]diskModels
	prunedAt      time.Time
}

// NewDiskInventory returns an empty inventory.
func NewDiskInventory() *DiskInventory {
	return &DiskInventory{byIncarnation: map[string]diskModels{}, byAddress: map[diskKey]diskModels{}}
}

// Possible returns the models that may be on the disk of a listed replica. The set must not be modified.
func (d *DiskInventory) Possible(listed discovery.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.byAddress[diskOf(listed)].models
}

// Certain returns the models that are certainly on the disk of a listed replica. The set must not be modified.
func (d *DiskInventory) Certain(listed discovery.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.byIncarnation[listed.ID].models
}

// disksOf returns the disk contents of the given replicas, all read under one lock.
func (d *DiskInventory) disksOf(replicas []*Replica) []disk {
	disks := make([]disk, len(replicas))
	d.lock.Lock()
	defer d.lock.Unlock()
	for index, replica := range replicas {
		disks[index] = disk{
			certain:  d.byIncarnation[replica.ID()].models,
			possible: d.byAddress[diskOf(replica.listed)].models,
		}
	}
	return disks
}

// RecordList records that the disks of listed replicas hold the models named by the list, and drops disks that have not been
// listed for diskRetention.
func (d *DiskInventory) RecordList(list []discovery.Replica, now time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for index := range list {
		d.recordListed(&list[index], now)
	}
	if now.Sub(d.prunedAt) < diskRetention {
		return
	}
	d.prunedAt = now
	isForgotten := func(known diskModels) bool { return now.Sub(known.listedAt) >= diskRetention }
	maps.DeleteFunc(d.byIncarnation, func(_ string, known diskModels) bool { return isForgotten(known) })
	maps.DeleteFunc(d.byAddress, func(_ diskKey, known diskModels) bool { return isForgotten(known) })
}

// recordListed records one entry of a list. The caller holds the lock.
func (d *DiskInventory) recordListed(listed *discovery.Replica, now time.Time) {
	incarnation, address := d.byIncarnation[listed.ID], d.byAddress[diskOf(*listed)]
	incarnation.listedAt, address.listedAt = now, now
	for _, model := range listed.Models {
		if !incarnation.models[model.Name] || !address.models[model.Name] {
			references := References(listed.Models)
			incarnation.models = withModels(incarnation.models, references)
			address.models = withModels(address.models, references)
			break
		}
	}
	d.byIncarnation[listed.ID], d.byAddress[diskOf(*listed)] = incarnation, address
}

// recordLoaded records that the disk of a replica holds the models that it reported as loaded.
func (d *DiskInventory) recordLoaded(listed discovery.Replica, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	incarnation, address := d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)]
	incarnation.models = withModels(incarnation.models, loaded)
	address.models = withModels(address.models, loaded)
	d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)] = incarnation, address
}

// reset drops the recorded disk contents of a replica except for the models that it certainly has loaded and, as a possible
// one, the model that it is loading.
func (d *DiskInventory) reset(listed discovery.Replica, model string, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	incarnation, address := d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)]
	incarnation.models = withModels(nil, loaded)
	address.models = withModels(map[string]bool{model: true}, loaded)
	d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)] = incarnation, address
}

// forgetPossible drops the models that only earlier incarnations at the address of a replica had loaded.
func (d *DiskInventory) forgetPossible(listed discovery.Replica) {
	d.lock.Lock()
	defer d.lock.Unlock()
	address := d.byAddress[diskOf(listed)]
	address.models = d.byIncarnation[listed.ID].models
	d.byAddress[diskOf(listed)] = address
}

// withModels returns a set of models extended by the models among the references. Adapters are left out, since loading them
// does not count as a load from the store. The given set is not modified.
func withModels(models, references map[string]bool) map[string]bool {
	next := models
	copied := false
	for reference := range references {
		if models[reference] || placement.IsAdapter(reference) {
			continue
		}
		if !copied {
			next, copied = maps.Clone(models), true
			if next == nil {
				next = map[string]bool{}
			}
		}
		next[reference] = true
	}
	return next
}
