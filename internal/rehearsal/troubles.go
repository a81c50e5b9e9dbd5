package rehearsal

import (
	"math/rand/v2"
	"time"
)

func (f *Fleet) isolate(name string, inward, outward, cut bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, other := range f.Names {
		if inward {
			f.cut[[2]string{other, name}] = cut
		}
		if outward {
			f.cut[[2]string{name, other}] = cut
		}
	}
}

func (f *Fleet) WaitVoting(bound time.Duration) bool {
	until := time.Now().Add(bound)
	for time.Now().Before(until) {
		voting := 0
		for _, name := range f.Names {
			if acceptor := f.alive(name); acceptor != nil && acceptor.Self().Voting {
				voting++
			}
		}
		if voting == len(f.Names) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

type Trouble func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration)

var Troubles = []Trouble{
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		f.Kill(name)
		time.Sleep(lasting)
		f.Start(name, false)
	},
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		f.Kill(name)
		f.members[name].disk.LosePower(draw)
		time.Sleep(lasting)
		f.Start(name, false)
	},
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		f.Kill(name)
		f.members[name].disk.wipe()
		time.Sleep(lasting)
		f.Start(name, false)
	},
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		inward := draw.IntN(2) == 0
		f.isolate(name, inward, !inward || draw.IntN(2) == 0, true)
		time.Sleep(lasting)
		f.isolate(name, true, true, false)
	},
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		disk := f.members[name].disk
		disk.lock.Lock()
		disk.stall = lasting
		disk.lock.Unlock()
		time.Sleep(lasting)
		disk.lock.Lock()
		disk.stall = 0
		disk.lock.Unlock()
	},
	func(f *Fleet, name string, draw *rand.Rand, lasting time.Duration) {
		disk := f.members[name].disk
		disk.lock.Lock()
		disk.refuses = true
		disk.lock.Unlock()
		time.Sleep(lasting)
		disk.lock.Lock()
		disk.refuses = false
		disk.lock.Unlock()
	},
}
