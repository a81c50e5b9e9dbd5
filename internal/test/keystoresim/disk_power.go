package keystoresim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// sectorBytes is the unit in which a write reaches the disk or is lost.
const sectorBytes = 512

// LosePower decides at random which unsynced writes are kept or torn and, independently, which names created since the last
// sync of the directory are kept. The process must have been killed.
func (d *Disk) LosePower(random *rand.Rand) {
	d.lock.Lock()
	defer d.lock.Unlock()
	losesAll := random.IntN(4) == 0
	for _, name := range slices.Sorted(maps.Keys(d.unsynced)) {
		for _, write := range d.unsynced[name] {
			if losesAll {
				continue
			}
			for _, kept := range tear(write, random) {
				d.synced[name] = applyWrite(d.synced[name], kept)
			}
		}
	}
	d.unsynced = map[string][]unsyncedWrite{}
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if d.names[name] == nameCreated && random.IntN(2) == 0 {
			d.removeLocked(name)
			continue
		}
		d.names[name] = nameSynced
	}
}

// tear draws the part of a write that is kept: nothing, a prefix, some of its sectors, or all.
func tear(write unsyncedWrite, random *rand.Rand) []unsyncedWrite {
	switch random.IntN(4) {
	case 0:
		return nil
	case 1:
		write.content = write.content[:random.IntN(len(write.content)+1)]
	case 2:
		var kept []unsyncedWrite
		for from := 0; from < len(write.content); from += sectorBytes {
			if random.IntN(2) == 0 {
				sector := write.content[from:min(from+sectorBytes, len(write.content))]
				kept = append(kept, unsyncedWrite{offset: write.offset + int64(from), content: sector})
			}
		}
		return kept
	}
	return []unsyncedWrite{write}
}

// Remove deletes a file, including one that is synced, which a power loss never does.
func (d *Disk) Remove(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.removeLocked(name)
}

// removeLocked deletes a file. The caller holds the lock.
func (d *Disk) removeLocked(name string) {
	delete(d.names, name)
	delete(d.synced, name)
	delete(d.unsynced, name)
}

// wipe deletes all files.
func (d *Disk) wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.synced = map[string][]byte{}
	d.unsynced = map[string][]unsyncedWrite{}
	d.names = map[string]nameState{}
}

// slowDown adds a latency to each operation, for a duration.
func (d *Disk) slowDown(latency, duration time.Duration) {
	d.adjustFaults(latency, 0)
	time.Sleep(duration)
	d.adjustFaults(-latency, 0)
}

// rejectWrites makes the disk reject every operation for a duration.
func (d *Disk) rejectWrites(duration time.Duration) {
	d.adjustFaults(0, 1)
	time.Sleep(duration)
	d.adjustFaults(0, -1)
}

// adjustFaults adds to the current faults, so that overlapping faults accumulate.
func (d *Disk) adjustFaults(stall time.Duration, rejecting int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stallDuration += stall
	d.rejecting += rejecting
}
