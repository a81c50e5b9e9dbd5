package replicatracker

import (
	"maps"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// diskRetention is how long a disk is remembered whose replica no list has shown: well beyond the longest absence of a
// replica that restarts.
const diskRetention = 10 * time.Minute

// diskKey names the disk that a listed replica may have: a replica that restarts at its address may keep its disk, one of
// another backend that gets the address later has its own.
type diskKey struct {
	backend string
	address string
}

func diskOf(listed discovery.Replica) diskKey {
	return diskKey{backend: listed.Backend, address: listed.Address}
}

// diskModels are the models on one disk. The set is replaced, never changed, because planner inputs keep it.
type diskModels struct {
	models   map[string]bool
	listedAt time.Time
}

// disk is what is known of the disk of one listed replica.
type disk struct {
	// certain are the models that this incarnation of the replica was itself seen to have loaded.
	certain map[string]bool
	// possible are those that any incarnation at its address was seen to have loaded, certain ones included.
	possible map[string]bool
}

// DiskInventory remembers which models the replicas have had loaded, so that their disks hold the weights. Only what
// an incarnation was itself seen to have loaded is certain: an address says nothing of the disk behind it, since a
// replica may come back there with its disk, with an empty one or with part of what it held (docs/questions.md). It
// outlives grants of the lease. Any goroutine may use it.
type DiskInventory struct {
	lock sync.Mutex
	// byIncarnation is by replica id, which is new at each start.
	byIncarnation map[string]diskModels
	byAddress     map[diskKey]diskModels
	prunedAt      time.Time
}

// NewDiskInventory returns an inventory that knows of no disk.
func NewDiskInventory() *DiskInventory {
	return &DiskInventory{byIncarnation: map[string]diskModels{}, byAddress: map[diskKey]diskModels{}}
}

// Possible returns the models that the disk of a listed replica may hold. The set must not be changed.
func (d *DiskInventory) Possible(listed discovery.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.byAddress[diskOf(listed)].models
}

// Certain returns the models that the disk of a listed replica certainly holds. The set must not be changed.
func (d *DiskInventory) Certain(listed discovery.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.byIncarnation[listed.ID].models
}

// disksOf returns what is known of the disks of some replicas, under one lock.
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

// RecordList records that the disks of listed replicas hold the models that the list names, and forgets disks that no list
// has shown for long.
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

// recordLoaded records that the disk of a replica holds what it reported.
func (d *DiskInventory) recordLoaded(listed discovery.Replica, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	incarnation, address := d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)]
	incarnation.models = withModels(incarnation.models, loaded)
	address.models = withModels(address.models, loaded)
	d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)] = incarnation, address
}

// reset forgets what the disk of a replica was taken to hold but for the model that it loads and what it surely has
// loaded.
func (d *DiskInventory) reset(listed discovery.Replica, model string, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	incarnation, address := d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)]
	incarnation.models = withModels(nil, loaded)
	address.models = withModels(map[string]bool{model: true}, loaded)
	d.byIncarnation[listed.ID], d.byAddress[diskOf(listed)] = incarnation, address
}

// forgetPossible forgets what earlier incarnations at the address of a replica had loaded.
func (d *DiskInventory) forgetPossible(listed discovery.Replica) {
	d.lock.Lock()
	defer d.lock.Unlock()
	address := d.byAddress[diskOf(listed)]
	address.models = d.byIncarnation[listed.ID].models
	d.byAddress[diskOf(listed)] = address
}

// withModels returns a set of models with those among some references; adapters are left out, since they count as no load
// from the store. The set given is not changed.
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
