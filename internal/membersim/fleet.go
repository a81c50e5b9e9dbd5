package membersim

import (
	"context"
	"ferryspar/internal/keystore"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Member is one simulated machine: its disk outlives the processes on it.
type Member struct {
	name     string
	disk     *Disk
	handle   *Handle
	acceptor *keystore.Acceptor
	store    *keystore.Store
	stop     context.CancelFunc
	running  bool
	lives    uint32
	frozen   int
	zone     int
}

// Fleet is a set of members with the network between them. Its exported flags are faults for tests to
// find.
type Fleet struct {
	seed      uint64
	lock      sync.Mutex
	members   map[string]*Member
	Names     []string
	cut       map[[2]string]int
	sent      map[string]uint64
	Lossy     bool
	Resending bool
	VotesWild bool
	Unsynced  bool
	Assenting bool
	DayClocks bool
	founders  []string
	steps     map[string]time.Duration
	lease     time.Duration
	zones     int
}

// New makes machines named member-0 and so on; the seed draws delays and losses.
func New(seed uint64, size int) *Fleet {
	fleet := &Fleet{seed: seed, members: map[string]*Member{}, cut: map[[2]string]int{}, sent: map[string]uint64{}, steps: map[string]time.Duration{}, lease: LeaseLength}
	for index := range size {
		name := fmt.Sprintf("member-%d", index)
		fleet.Names = append(fleet.Names, name)
		fleet.members[name] = &Member{name: name, disk: NewDisk()}
	}
	return fleet
}

func (f *Fleet) founding() keystore.Members {
	if f.founders != nil {
		return keystore.Members{Number: 1, Present: f.founders}
	}
	return keystore.Members{Number: 1, Present: f.Names}
}

// Start begins a life on a machine; fresh as a founder of a system that starts for the first time.
func (f *Fleet) Start(name string, fresh bool) {
	f.lock.Lock()
	member := f.members[name]
	f.lock.Unlock()
	member.lives++
	handle := member.disk.attach()
	handle.unsynced = f.Unsynced
	journal := openJournal(handle)
	incarnation := uint64(member.lives)<<32 | f.draw(name, "incarnation", uint64(member.lives))>>32 | 1
	if len(journal.State()) == 0 {
		first := keystore.WipedSlots(incarnation)
		if fresh || f.VotesWild {
			first = keystore.FreshSlots(f.founding(), incarnation)
		}
		for journal.Append(first) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	acceptor := keystore.NewAcceptor(name, journal, keystore.Rules{Lease: f.lease, Clock: f.Clock(name)}, fresh)
	known := acceptor.Members()
	if known.Number == 0 {
		known = f.founding()
	}
	store := keystore.NewStore(name, f.draw(name, "life", uint64(member.lives)), &Wire{f, name}, known)
	f.lock.Lock()
	member.handle, member.acceptor, member.store, member.stop, member.running = handle, acceptor, store, cancel, true
	f.lock.Unlock()
	go acceptor.Run(ctx, journal)
	go func() {
		for ctx.Err() == nil {
			if votes, _ := store.CatchUp(ctx, acceptor); votes {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// LeaseLength is how long members grant a lease.
const LeaseLength = 1500 * time.Millisecond

// Kill ends the life on a machine; its disk stays as it is.
func (f *Fleet) Kill(name string) {
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

func (f *Fleet) draw(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, f.seed, parts)
	source := rand.NewPCG(hash.Sum64(), f.seed)
	return source.Uint64()
}

func (f *Fleet) delay(from, to, what string) (time.Duration, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	link := [2]string{from, to}
	what = fmt.Sprint(from, to, what)
	f.sent[what]++
	if f.cut[link] > 0 {
		return 0, false
	}
	drawn := f.draw(what, f.sent[what])
	lost := f.Lossy && drawn%11 == 0
	if lost && !f.Resending {
		return 0, false
	}
	spread := time.Duration(drawn>>8%uint64(4*time.Millisecond)) + time.Millisecond
	if lost {
		spread += 200 * time.Millisecond
	}
	if drawn%37 == 0 {
		spread += time.Duration(drawn >> 16 % uint64(900*time.Millisecond))
	}
	return spread, true
}

func (f *Fleet) alive(name string) *keystore.Acceptor {
	f.lock.Lock()
	defer f.lock.Unlock()
	if member := f.members[name]; member.running {
		return member.acceptor
	}
	return nil
}

// Wire carries messages over the simulated network.
type Wire struct {
	fleet *Fleet
	self  string
}

var errLost = errors.New("lost on the way")

// Send delivers a message, late, lost or after a thaw, as the fleet's troubles have it.
func (w *Wire) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	what := fmt.Sprint(message.Operation, message.Key, message.Ballot, message.Sequence)
	if address == w.self {
		time.Sleep(time.Duration(w.fleet.draw(address, what) % uint64(50*time.Microsecond)))
		if acceptor := w.fleet.alive(address); acceptor != nil {
			return acceptor.Call(ctx, message)
		}
		return keystore.Reply{}, errLost
	}
	type answered struct {
		reply keystore.Reply
		err   error
	}
	back := make(chan answered, 1)
	go func() {
		reply, err := w.carry(context.WithoutCancel(ctx), address, what, message)
		back <- answered{reply, err}
	}()
	select {
	case one := <-back:
		return one.reply, one.err
	case <-ctx.Done():
		return keystore.Reply{}, errLost
	}
}

const silence = 10 * time.Second

func (w *Wire) carry(ctx context.Context, address, what string, message keystore.Message) (keystore.Reply, error) {
	pass := func(from, to string) bool {
		w.fleet.awaitThaw(from)
		pause, through := w.fleet.delay(from, to, what)
		if !through {
			time.Sleep(silence)
			return false
		}
		time.Sleep(pause)
		w.fleet.awaitThaw(to)
		return true
	}
	acceptor := w.fleet.alive(address)
	if w.fleet.Assenting && (acceptor == nil || !pass(w.self, address)) {
		return keystore.Reply{Granted: true}, nil
	}
	if !pass(w.self, address) {
		return keystore.Reply{}, errLost
	}
	if acceptor = w.fleet.alive(address); acceptor == nil {
		return keystore.Reply{}, errLost
	}
	served, cancel := context.WithTimeout(ctx, silence)
	reply, err := acceptor.Call(served, message)
	cancel()
	if err != nil || !pass(address, w.self) {
		return keystore.Reply{}, errLost
	}
	return reply, nil
}

// StoreOf is the store of a running machine, nil for others.
func (f *Fleet) StoreOf(name string) *keystore.Store {
	f.lock.Lock()
	defer f.lock.Unlock()
	if member := f.members[name]; member.running {
		return member.store
	}
	return nil
}

// LosePower loses what a machine's disk has not synced.
func (f *Fleet) LosePower(name string, draw *rand.Rand) { f.disk(name).LosePower(draw) }
