package keystoresim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Spread puts the machines into zones of the sizes given.
func (c *Cluster) AssignZones(sizes ...int) {
	position := 0
	for zone, size := range sizes {
		for range size {
			c.members[c.Names[position]].zone = zone
			position++
		}
	}
	c.zoneCount = len(sizes)
}

func (c *Cluster) namesInZones(zones ...int) []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var found []string
	for _, name := range c.Names {
		for _, zone := range zones {
			if c.members[name].zone == zone {
				found = append(found, name)
			}
		}
	}
	return found
}

func (c *Cluster) zoneOf(name string) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.members[name].zone
}

func (c *Cluster) disk(name string) *Disk {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.members[name].disk
}

func (c *Cluster) adjustFrozen(name string, amount int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.members[name].frozen += amount
}

// Frozen says whether a machine stands still.
func (c *Cluster) Frozen(name string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.members[name].frozen > 0
}

const thawPollInterval = time.Millisecond + 7*time.Nanosecond

func (c *Cluster) waitWhileFrozen(name string) {
	for c.Frozen(name) {
		time.Sleep(thawPollInterval)
	}
}

func (c *Cluster) withRandomOther(name string, random *rand.Rand) []string {
	pair := []string{name}
	if other := c.Names[random.IntN(len(c.Names))]; other != name {
		pair = append(pair, other)
	}
	return pair
}

// CutZoneLink cuts the zone of a machine from one other; the rest reach both.
func CutZoneLink(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	own := f.zoneOf(name)
	other := (own + 1 + random.IntN(f.zoneCount-1)) % f.zoneCount
	defer f.addLinkCuts(f.linksBetween(f.namesInZones(own), f.namesInZones(other)))()
	time.Sleep(duration)
}

// CutRegion cuts the first two zones from all others.
func CutRegion(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	first := []int{0, 1}
	var second []int
	for zone := 2; zone < f.zoneCount; zone++ {
		second = append(second, zone)
	}
	defer f.addLinkCuts(f.linksBetween(f.namesInZones(first...), f.namesInZones(second...)))()
	time.Sleep(duration)
}

// LoseZone takes the power of a machine's zone.
func LoseZone(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.loseZone(f.zoneOf(name), random, duration)
}

// LoseOtherZone takes the power of a zone that the machine is not in.
func LoseOtherZone(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.loseZone((f.zoneOf(name)+1+random.IntN(f.zoneCount-1))%f.zoneCount, random, duration)
}

func (c *Cluster) loseZone(zone int, random *rand.Rand, duration time.Duration) {
	members := c.namesInZones(zone)
	heal := c.addLinkCuts(c.linksBetween(members, c.MemberNames()))
	for _, name := range members {
		c.Kill(name)
		c.LosePower(name, random)
	}
	time.Sleep(duration)
	heal()
	for _, name := range members {
		c.Start(name, false)
	}
}

func onTwoMachines(fault Fault) Fault {
	return func(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
		var both sync.WaitGroup
		for _, machine := range f.withRandomOther(name, random) {
			source := rand.New(rand.NewPCG(random.Uint64(), 3))
			both.Go(func() {
				time.Sleep(time.Duration(source.Int64N(int64(time.Millisecond))))
				fault(f, machine, source, duration)
			})
		}
		both.Wait()
	}
}

// StallTwoDisks lets the disks of a machine and a second one hang.
var StallTwoDisks = onTwoMachines(stallDisk)

// WipeTwoDisks loses the disks of a machine and a second one.
var WipeTwoDisks = onTwoMachines(wipeDisk)

// SlowTwoDisks slows the disks of a machine and a second one.
var SlowTwoDisks = onTwoMachines(func(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	disk, slower := f.disk(name), time.Duration(random.Int64N(int64(300*time.Millisecond)))
	disk.adjustFaults(slower, 0)
	time.Sleep(duration)
	disk.adjustFaults(-slower, 0)
})

// Freeze lets a machine stand still; what is sent to it arrives after the thaw.
func Freeze(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.adjustFrozen(name, 1)
	time.Sleep(duration)
	f.adjustFrozen(name, -1)
}

// OneOf draws one of several troubles each time.
func OneOf(faults ...Fault) Fault {
	return func(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
		faults[random.IntN(len(faults))](f, name, random, duration)
	}
}

// Mixes of troubles that schedules draw from.
var (
	RestartFaults           = OneOf(restart, losePower, wipeDisk, WipeTwoDisks, LoseZone)
	LinkFaults              = OneOf(CutZoneLink, CutRegion, isolate, Freeze)
	DiskFaults              = OneOf(StallTwoDisks, SlowTwoDisks, rejectWrites)
	ConnectedMajorityFaults = OneOf(CutZoneLink, LoseZone, StallTwoDisks, SlowTwoDisks, Freeze)
)
