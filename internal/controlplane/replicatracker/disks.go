package replicatracker

import (
	"maps"
	"sync"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// diskKey names the disk that a listed replica is taken to have: a replica that restarts at its address keeps its disk, one
// of another backend that gets the address later has its own.
type diskKey struct {
	backend string
	address string
}

func diskOf(listed discovery.Replica) diskKey {
	return diskKey{backend: listed.Backend, address: listed.Address}
}

// DiskInventory remembers which models each replica has had loaded, so that its disk may hold their weights: loading one of
// them again takes no token of the load budget. It outlives grants of the lease. Any goroutine may use it.
type DiskInventory struct {
	lock sync.Mutex
	// models holds a set of models per disk. A set is replaced, never changed, because planner inputs keep it.
	models map[diskKey]map[string]bool
}

// NewDiskInventory returns an inventory that knows of no disk.
func NewDiskInventory() *DiskInventory {
	return &DiskInventory{models: map[diskKey]map[string]bool{}}
}

// Models returns the models that the disk of a listed replica may hold. The set must not be changed.
func (d *DiskInventory) Models(listed discovery.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.models[diskOf(listed)]
}

// modelsOf returns what Models does for each of some replicas, under one lock.
func (d *DiskInventory) modelsOf(replicas []*Replica) []map[string]bool {
	models := make([]map[string]bool, len(replicas))
	d.lock.Lock()
	defer d.lock.Unlock()
	for index, replica := range replicas {
		models[index] = d.models[diskOf(replica.listed)]
	}
	return models
}

// RecordListed records that the disk of a listed replica holds the models that the list names.
func (d *DiskInventory) RecordListed(listed discovery.Replica) {
	d.lock.Lock()
	defer d.lock.Unlock()
	known := d.models[diskOf(listed)]
	for _, model := range listed.Models {
		if !known[model.Name] {
			d.add(listed, References(listed.Models))
			return
		}
	}
}

// recordLoaded records that the disk of a replica holds what it reported.
func (d *DiskInventory) recordLoaded(listed discovery.Replica, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.add(listed, loaded)
}

// reset forgets what the disk of a replica was taken to hold but for what the replica has surely loaded.
func (d *DiskInventory) reset(listed discovery.Replica, model string, loaded map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.models[diskOf(listed)] = map[string]bool{model: true}
	d.add(listed, loaded)
}

// add adds models to a disk; adapters are left out, since they count as no load from the store. The caller holds the lock.
func (d *DiskInventory) add(listed discovery.Replica, references map[string]bool) {
	disk := diskOf(listed)
	known := d.models[disk]
	var next map[string]bool
	for reference := range references {
		if known[reference] || placement.IsAdapter(reference) {
			continue
		}
		if next == nil {
			if next = maps.Clone(known); next == nil {
				next = map[string]bool{}
			}
			d.models[disk] = next
		}
		next[reference] = true
	}
}
