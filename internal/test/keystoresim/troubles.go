package keystoresim

import (
	"math/rand/v2"
	"time"
)

func (c *Cluster) addLinkCuts(links [][2]string) func() {
	add := func(amount int) {
		c.lock.Lock()
		defer c.lock.Unlock()
		for _, link := range links {
			c.cutLinks[link] += amount
		}
	}
	add(1)
	return func() { add(-1) }
}

func (c *Cluster) linksBetween(left, right []string) [][2]string {
	var links [][2]string
	for _, member := range left {
		for _, other := range right {
			links = append(links, [2]string{member, other}, [2]string{other, member})
		}
	}
	return links
}

// WaitUntilAllVote waits until all present machines vote, and says whether they did in time.
func (c *Cluster) WaitUntilAllVote(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		voting := 0
		present := c.MemberNames()
		for _, name := range present {
			if acceptor := c.runningAcceptor(name); acceptor != nil && acceptor.LocalState().Voting {
				voting++
			}
		}
		if voting == len(present) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Fault befalls a machine and lasts for a while.
type Fault func(f *Cluster, name string, random *rand.Rand, duration time.Duration)

func restart(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.Kill(name)
	time.Sleep(duration)
	f.Start(name, false)
}

func losePower(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.Kill(name)
	f.LosePower(name, random)
	time.Sleep(duration)
	f.Start(name, false)
}

func wipeDisk(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	f.Kill(name)
	f.disk(name).wipe()
	time.Sleep(duration)
	f.Start(name, false)
}

func isolate(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	inward := random.IntN(2) == 0
	outward := !inward || random.IntN(2) == 0
	var links [][2]string
	for _, other := range f.MemberNames() {
		if inward {
			links = append(links, [2]string{other, name})
		}
		if outward {
			links = append(links, [2]string{name, other})
		}
	}
	defer f.addLinkCuts(links)()
	time.Sleep(duration)
}

func stallDisk(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	disk := f.disk(name)
	disk.adjustFaults(duration, 0)
	time.Sleep(duration)
	disk.adjustFaults(-duration, 0)
}

func rejectWrites(f *Cluster, name string, random *rand.Rand, duration time.Duration) {
	disk := f.disk(name)
	disk.adjustFaults(0, 1)
	time.Sleep(duration)
	disk.adjustFaults(0, -1)
}

// MachineFaults are those of a single machine.
var MachineFaults = []Fault{restart, losePower, wipeDisk, isolate, stallDisk, rejectWrites}
