package rehearsal

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

type Member struct {
	name     string
	disk     *Disk
	handle   *Handle
	acceptor *keystore.Acceptor
	store    *keystore.Store
	stop     context.CancelFunc
	running  bool
	lives    uint32
}

type Fleet struct {
	seed      uint64
	lock      sync.Mutex
	members   map[string]*Member
	Names     []string
	cut       map[[2]string]bool
	sent      map[[2]string]uint64
	Lossy     bool
	VotesWild bool
	tenure    time.Duration
}

func New(seed uint64, size int) *Fleet {
	fleet := &Fleet{seed: seed, members: map[string]*Member{}, cut: map[[2]string]bool{}, sent: map[[2]string]uint64{}, tenure: TenureLength}
	for index := range size {
		name := fmt.Sprintf("member-%d", index)
		fleet.Names = append(fleet.Names, name)
		fleet.members[name] = &Member{name: name, disk: NewDisk()}
	}
	return fleet
}

func (f *Fleet) founding() keystore.Members { return keystore.Members{Number: 1, Present: f.Names} }

func (f *Fleet) Start(name string, fresh bool) {
	f.lock.Lock()
	member := f.members[name]
	f.lock.Unlock()
	member.lives++
	handle := member.disk.attach()
	journal, err := keystore.OpenJournal(handle, ringFilesForTest, 64<<10)
	if err != nil {
		panic(err)
	}
	incarnation := uint64(member.lives)<<32 | f.draw(name, "incarnation", uint64(member.lives))>>32 | 1
	if len(journal.State()) == 0 {
		first := keystore.WipedSlots(incarnation)
		if fresh || f.VotesWild {
			first = keystore.FreshSlots(f.founding(), incarnation)
		}
		if err := journal.Append(first); err != nil {
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	acceptor := keystore.NewAcceptor(name, journal, keystore.Rules{Tenure: f.tenure, Clock: time.Now}, fresh)
	known := acceptor.Members()
	if known.Number == 0 {
		known = f.founding()
	}
	store := keystore.NewStore(name, uint32(f.draw(name, "nonce", uint64(member.lives))), &Wire{f, name}, time.Now, known)
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

const (
	ringFilesForTest = 3
	TenureLength     = 1500 * time.Millisecond
)

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

func (f *Fleet) delay(from, to string) (time.Duration, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	link := [2]string{from, to}
	f.sent[link]++
	if f.cut[link] {
		return 0, false
	}
	drawn := f.draw(from, to, f.sent[link])
	if f.Lossy && drawn%11 == 0 {
		return 0, false
	}
	spread := time.Duration(drawn>>8%uint64(4*time.Millisecond)) + time.Millisecond
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

type Wire struct {
	fleet *Fleet
	self  string
}

var errLost = errors.New("lost on the way")

func (w *Wire) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address == w.self {
		if acceptor := w.fleet.alive(address); acceptor != nil {
			return acceptor.Call(ctx, message)
		}
		return keystore.Reply{}, errLost
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
		return keystore.Reply{}, err
	}
	acceptor := w.fleet.alive(address)
	if acceptor == nil {
		return keystore.Reply{}, errLost
	}
	served, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	reply, err := acceptor.Call(served, message)
	cancel()
	if err != nil {
		return keystore.Reply{}, err
	}
	if err := pass(address, w.self); err != nil {
		return keystore.Reply{}, err
	}
	return reply, ctx.Err()
}

func (f *Fleet) StoreOf(name string) *keystore.Store {
	f.lock.Lock()
	defer f.lock.Unlock()
	if member := f.members[name]; member.running {
		return member.store
	}
	return nil
}

func (f *Fleet) LosePower(name string, draw *rand.Rand) { f.members[name].disk.LosePower(draw) }
