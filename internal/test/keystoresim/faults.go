package keystoresim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault strikes a machine, or others as well, and returns once its duration is over.
type Fault func(cluster *Cluster, name string, random *rand.Rand, duration time.Duration)

// MachineFaults are those of a single machine.
var MachineFaults = []Fault{Restart, LosePower, WipeDisk, Isolate, StallDisk, RejectWrites}

// Mixes of faults that schedules draw from.
var (
	RestartFaults = OneOf(Restart, LosePower, WipeDisk, WipeTwoDisks, LoseZone)
	LinkFaults    = OneOf(CutZoneLink, CutRegion, Isolate, Freeze)
	DiskFaults    = OneOf(StallTwoDisks, SlowTwoDisks, RejectWrites)
	// ConnectedMajorityFaults leave a majority that reach each other.
	ConnectedMajorityFaults = OneOf(CutZoneLink, LoseZone, StallTwoDisks, SlowTwoDisks, Freeze)
)

// OneOf draws one of several faults each time.
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

// LosePower kills the process, and loses what the disk has not synced.
func LosePower(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.Kill(name)
	cluster.LosePower(name, random)
	time.Sleep(duration)
	cluster.Start(name, false)
}

// WipeDisk kills the process, and loses all that is on the disk.
func WipeDisk(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.Kill(name)
	cluster.disk(name).wipe()
	time.Sleep(duration)
	cluster.Start(name, false)
}

// Isolate cuts a machine from all others, in one direction or both.
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

// Freeze lets a machine stand still; what is sent to it arrives after the thaw.
func Freeze(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.freeze(name, duration)
}

// StallDisk lets a disk hang.
func StallDisk(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.disk(name).slowDown(duration, duration)
}

// SlowDisk slows a disk down.
func SlowDisk(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	by := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
	cluster.disk(name).slowDown(by, duration)
}

// RejectWrites has a disk reject all operations.
func RejectWrites(cluster *Cluster, name string, _ *rand.Rand, duration time.Duration) {
	cluster.disk(name).rejectWrites(duration)
}

// Faults of a machine and a second one.
var (
	StallTwoDisks = onTwoMachines(StallDisk)
	WipeTwoDisks  = onTwoMachines(WipeDisk)
	SlowTwoDisks  = onTwoMachines(SlowDisk)
)

// onTwoMachines strikes a machine and, unless the draw falls on the same one, a second.
func onTwoMachines(fault Fault) Fault {
	return func(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
		struck := []string{name}
		if other := cluster.Names[random.IntN(len(cluster.Names))]; other != name {
			struck = append(struck, other)
		}
		var both sync.WaitGroup
		for _, machine := range struck {
			source := rand.New(rand.NewPCG(random.Uint64(), 3))
			both.Go(func() {
				time.Sleep(time.Duration(source.Int64N(int64(time.Millisecond))))
				fault(cluster, machine, source, duration)
			})
		}
		both.Wait()
	}
}
