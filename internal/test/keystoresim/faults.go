package keystoresim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault injects a fault into a machine, and into others where its kind affects several, and returns after its duration.
type Fault func(cluster *Cluster, name string, random *rand.Rand, duration time.Duration)

// MachineFaults are the faults of a single machine.
var MachineFaults = []Fault{Restart, LosePower, WipeDisk, Isolate, StallDisk, RejectWrites}

// Mixes of faults that schedules draw from.
var (
	RestartFaults = OneOf(Restart, LosePower, WipeDisk, WipeTwoDisks, LoseZone)
	LinkFaults    = OneOf(CutZoneLink, CutRegion, Isolate, Freeze)
	DiskFaults    = OneOf(StallTwoDisks, SlowTwoDisks, RejectWrites)
	// ConnectedMajorityFaults leave a connected majority.
	ConnectedMajorityFaults = OneOf(CutZoneLink, LoseZone, StallTwoDisks, SlowTwoDisks, Freeze)
)

// OneOf returns a fault that draws one of the given faults each time.
func OneOf(faults ...Fault) Fault {
	return func(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
		faults[random.IntN(len(faults))](cluster, name, random, duration)
	}
}

// Restart kills the process and starts another.
func Restart(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.Kill(name)
	time.Sleep(duration)
	cluster.Start(name, false)
}

// LosePower kills the process, and loses unsynced writes of the disk.
func LosePower(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.Kill(name)
	cluster.LosePower(name, random)
	time.Sleep(duration)
	cluster.Start(name, false)
}

// WipeDisk kills the process, and deletes all data on the disk.
func WipeDisk(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.Kill(name)
	cluster.disk(name).wipe()
	time.Sleep(duration)
	cluster.Start(name, false)
}

// Isolate cuts the links between a machine and all others, in one direction or both.
func Isolate(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	inward := random.IntN(2) == 0
	outward := !inward || random.IntN(2) == 0
	var links []link
	for _, other := range cluster.MemberNames() {
		if inward {
			links = append(links, link{other, name})
		}
		if outward {
			links = append(links, link{name, other})
		}
	}
	defer cluster.cut(links)()
	time.Sleep(duration)
}

// Freeze suspends a machine. Messages sent to it arrive once it runs again.
func Freeze(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.freeze(name, duration)
}

// StallDisk makes a disk stall.
func StallDisk(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.disk(name).slowDown(duration, duration)
}

// SlowDisk adds up to 300 ms to each operation of a disk.
func SlowDisk(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	latency := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
	cluster.disk(name).slowDown(latency, duration)
}

// RejectWrites makes a disk reject all operations.
func RejectWrites(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.disk(name).rejectWrites(duration)
}

// Faults of a machine and a second one drawn at random.
var (
	StallTwoDisks = onTwoMachines(StallDisk)
	WipeTwoDisks  = onTwoMachines(WipeDisk)
	SlowTwoDisks  = onTwoMachines(SlowDisk)
)

// onTwoMachines returns a fault that affects a machine and, unless the draw selects the same one, a second one.
func onTwoMachines(fault Fault) Fault {
	return func(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
		affected := []string{name}
		if other := cluster.Names[random.IntN(len(cluster.Names))]; other != name {
			affected = append(affected, other)
		}
		var both sync.WaitGroup
		for _, machine := range affected {
			source := rand.New(rand.NewPCG(random.Uint64(), 3))
			both.Go(func() {
				time.Sleep(time.Duration(source.Int64N(int64(time.Millisecond))))
				fault(cluster, machine, source, duration)
			})
		}
		both.Wait()
	}
}
