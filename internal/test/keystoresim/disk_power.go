package keystoresim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// sectorBytes is the piece of a write that is there or missing as a whole.
const sectorBytes = 512

// LosePower draws the fate of each write that isn't synced and, apart from that, of each name that was made since the
// directory was synced. The process must have been killed.
func (d *Disk) LosePower(random *rand.Rand) {
	d.lock.Lock()
	defer d.lock.Unlock()
	all := random.IntN(4) == 0
	for _, name := range slices.Sorted(maps.Keys(d.unsynced)) {
		for _, write := range d.unsynced[name] {
			if all {
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

// tear draws what is left of a write: nothing, its beginning, some of its sectors, or all.
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

// Remove takes a file away, as no loss of power does.
func (d *Disk) Remove(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.removeLocked(name)
}

// removeLocked is Remove under the lock.
func (d *Disk) removeLocked(name string) {
	delete(d.names, name)
	delete(d.synced, name)
	delete(d.unsynced, name)
}

// wipe takes everything away.
func (d *Disk) wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.synced = map[string][]byte{}
	d.unsynced = map[string][]unsyncedWrite{}
	d.names = map[string]nameState{}
}

// slowDown adds to the time of each operation, for a duration.
func (d *Disk) slowDown(by, duration time.Duration) {
	d.adjustFaults(by, 0)
	time.Sleep(duration)
	d.adjustFaults(-by, 0)
}

// rejectWrites has the disk reject every operation for a duration.
func (d *Disk) rejectWrites(duration time.Duration) {
	d.adjustFaults(0, 1)
	time.Sleep(duration)
	d.adjustFaults(0, -1)
}

// adjustFaults adds up faults that overlap.
func (d *Disk) adjustFaults(stall time.Duration, rejecting int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stallDuration += stall
	d.rejecting += rejecting
}
