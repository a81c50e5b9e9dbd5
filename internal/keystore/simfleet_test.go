package keystore

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type simulatedMember struct {
	name     string
	disk     *simulatedDisk
	handle   *simulatedHandle
	acceptor *Acceptor
	store    *Store
	stop     context.CancelFunc
	running  bool
	lives    uint32
}

type simulatedFleet struct {
	seed      uint64
	lock      sync.Mutex
	members   map[string]*simulatedMember
	names     []string
	cut       map[[2]string]bool
	sent      map[[2]string]uint64
	lossy     bool
	votesWild bool
	tenure    time.Duration
}

func newSimulatedFleet(seed uint64, size int) *simulatedFleet {
	fleet := &simulatedFleet{seed: seed, members: map[string]*simulatedMember{}, cut: map[[2]string]bool{}, sent: map[[2]string]uint64{}, tenure: 1500 * time.Millisecond}
	for index := range size {
		name := fmt.Sprintf("member-%d", index)
		fleet.names = append(fleet.names, name)
		fleet.members[name] = &simulatedMember{name: name, disk: newSimulatedDisk()}
	}
	return fleet
}

func (f *simulatedFleet) founding() Members { return Members{Number: 1, Present: f.names} }

func (f *simulatedFleet) start(name string, fresh bool) {
	f.lock.Lock()
	member := f.members[name]
	f.lock.Unlock()
	member.lives++
	handle := member.disk.attach()
	journal, err := OpenJournal(handle, ringFilesForTest, 64<<10)
	if err != nil {
		panic(err)
	}
	incarnation := uint64(member.lives)<<32 | f.draw(name, "incarnation", uint64(member.lives))>>32 | 1
	if len(journal.State()) == 0 {
		first := WipedSlots(incarnation)
		if fresh || f.votesWild {
			first = FreshSlots(f.founding(), incarnation)
		}
		if err := journal.Append(first); err != nil {
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	acceptor := NewAcceptor(name, journal, Rules{Tenure: f.tenure, Clock: time.Now}, fresh)
	known := acceptor.Members()
	if known.Number == 0 {
		known = f.founding()
	}
	store := NewStore(name, uint32(f.draw(name, "nonce", uint64(member.lives))), &simulatedWire{f, name}, time.Now, known)
	f.lock.Lock()
	member.handle, member.acceptor, member.store, member.stop, member.running = handle, acceptor, store, cancel, true
	f.lock.Unlock()
	go acceptor.Run(ctx, journal)
	go func() {
		for ctx.Err() == nil && !store.CatchUp(ctx, acceptor) {
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

const ringFilesForTest = 3

func (f *simulatedFleet) kill(name string) {
	f.lock.Lock()
	member := f.members[name]
	member.running = false
	f.lock.Unlock()
	if member.stop != nil {
		member.stop()
		member.disk.lock.Lock()
		member.handle.gone = true
		member.disk.lock.Unlock()
	}
}

func (f *simulatedFleet) draw(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, f.seed, parts)
	source := rand.NewPCG(hash.Sum64(), f.seed)
	return source.Uint64()
}

func (f *simulatedFleet) delay(from, to string) (time.Duration, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	link := [2]string{from, to}
	f.sent[link]++
	if f.cut[link] {
		return 0, false
	}
	drawn := f.draw(from, to, f.sent[link])
	if f.lossy && drawn%11 == 0 {
		return 0, false
	}
	spread := time.Duration(drawn>>8%uint64(4*time.Millisecond)) + time.Millisecond
	if drawn%37 == 0 {
		spread += time.Duration(drawn >> 16 % uint64(900*time.Millisecond))
	}
	return spread, true
}

func (f *simulatedFleet) alive(name string) *Acceptor {
	f.lock.Lock()
	defer f.lock.Unlock()
	if member := f.members[name]; member.running {
		return member.acceptor
	}
	return nil
}

type simulatedWire struct {
	fleet *simulatedFleet
	self  string
}

var errLost = errors.New("lost on the way")

func (w *simulatedWire) Send(ctx context.Context, address string, message Message) (Reply, error) {
	if address == w.self {
		if acceptor := w.fleet.alive(address); acceptor != nil {
			return acceptor.Call(ctx, message)
		}
		return Reply{}, errLost
	}
	pass := func(from, to string) error {
		pause, through := w.fleet.delay(from, to)
		if !through {
			<-ctx.Done()
			return errLost
		}
		time.Sleep(pause)
		return nil
	}
	if err := pass(w.self, address); err != nil {
		return Reply{}, err
	}
	acceptor := w.fleet.alive(address)
	if acceptor == nil {
		return Reply{}, errLost
	}
	served, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	reply, err := acceptor.Call(served, message)
	cancel()
	if err != nil {
		return Reply{}, err
	}
	if err := pass(address, w.self); err != nil {
		return Reply{}, err
	}
	return reply, ctx.Err()
}
