package keystoresim

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
	name         string
	disk         *Disk
	handle       *Handle
	acceptor     *keystore.Acceptor
	store        *keystore.Store
	stop         context.CancelFunc
	running      bool
	incarnations uint32
	frozen       int
	zone         int
}

// Cluster is a set of members with the network between them. Its exported flags are faults for tests to
// find.
type Cluster struct {
	seed                 uint64
	lock                 sync.Mutex
	members              map[string]*Member
	Names                []string
	cutLinks             map[[2]string]int
	sent                 map[string]uint64
	Lossy                bool
	Retransmits          bool
	VotesWithoutCatchUp  bool
	SkipsSync            bool
	CountsSilenceAsGrant bool
	UsesWallClock        bool
	bootstrapMembers     []string
	clockOffsets         map[string]time.Duration
	leaseDuration        time.Duration
	zoneCount            int
}

// New makes machines named member-0 and so on; the seed draws delays and losses.
func New(seed uint64, size int) *Cluster {
	cluster := &Cluster{seed: seed, members: map[string]*Member{}, cutLinks: map[[2]string]int{}, sent: map[string]uint64{}, clockOffsets: map[string]time.Duration{}, leaseDuration: LeaseDuration}
	for index := range size {
		name := fmt.Sprintf("member-%d", index)
		cluster.Names = append(cluster.Names, name)
		cluster.members[name] = &Member{name: name, disk: NewDisk()}
	}
	return cluster
}

func (c *Cluster) bootstrapMembership() keystore.Membership {
	if c.bootstrapMembers != nil {
		return keystore.Membership{Version: 1, Current: c.bootstrapMembers}
	}
	return keystore.Membership{Version: 1, Current: c.Names}
}

// Start begins a life on a machine; fresh as a founder of a system that starts for the first time.
func (c *Cluster) Start(name string, bootstrapping bool) {
	c.lock.Lock()
	member := c.members[name]
	c.lock.Unlock()
	member.incarnations++
	handle := member.disk.attach()
	handle.skipsSync = c.SkipsSync
	log := openWAL(handle)
	diskIncarnation := uint64(member.incarnations)<<32 | c.drawNumber(name, "incarnation", uint64(member.incarnations))>>32 | 1
	if len(log.State()) == 0 {
		first := keystore.WipedRegisters(diskIncarnation)
		if bootstrapping || c.VotesWithoutCatchUp {
			first = keystore.BootstrapRegisters(c.bootstrapMembership(), diskIncarnation)
		}
		for log.Append(first) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	acceptor := keystore.NewAcceptor(name, log, keystore.AcceptorConfig{LeaseDuration: c.leaseDuration, Clock: c.Clock(name)}, bootstrapping)
	known := acceptor.Membership()
	if known.Version == 0 {
		known = c.bootstrapMembership()
	}
	store := keystore.NewStore(name, c.drawNumber(name, "life", uint64(member.incarnations)), &Transport{c, name}, known)
	c.lock.Lock()
	member.handle, member.acceptor, member.store, member.stop, member.running = handle, acceptor, store, cancel, true
	c.lock.Unlock()
	go acceptor.Run(ctx, log)
	go func() {
		for ctx.Err() == nil {
			if votes, _ := store.CatchUp(ctx, acceptor); votes {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// LeaseDuration is how long members grant a lease.
const LeaseDuration = 1500 * time.Millisecond

// Kill ends the life on a machine; its disk stays as it is.
func (c *Cluster) Kill(name string) {
	c.lock.Lock()
	member := c.members[name]
	member.running = false
	c.lock.Unlock()
	if member.stop != nil {
		member.stop()
		member.disk.lock.Lock()
		member.handle.killed = true
		member.disk.lock.Unlock()
	}
}

func (c *Cluster) drawNumber(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, c.seed, parts)
	source := rand.NewPCG(hash.Sum64(), c.seed)
	return source.Uint64()
}

func (c *Cluster) delay(from, to, what string) (time.Duration, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	link := [2]string{from, to}
	what = fmt.Sprint(from, to, what)
	c.sent[what]++
	if c.cutLinks[link] > 0 {
		return 0, false
	}
	drawn := c.drawNumber(what, c.sent[what])
	lost := c.Lossy && drawn%11 == 0
	if lost && !c.Retransmits {
		return 0, false
	}
	latency := time.Duration(drawn>>8%uint64(4*time.Millisecond)) + time.Millisecond
	if lost {
		latency += 200 * time.Millisecond
	}
	if drawn%37 == 0 {
		latency += time.Duration(drawn >> 16 % uint64(900*time.Millisecond))
	}
	return latency, true
}

func (c *Cluster) runningAcceptor(name string) *keystore.Acceptor {
	c.lock.Lock()
	defer c.lock.Unlock()
	if member := c.members[name]; member.running {
		return member.acceptor
	}
	return nil
}

// Transport carries messages over the simulated network.
type Transport struct {
	cluster *Cluster
	self    string
}

var errLost = errors.New("lost on the way")

// Send delivers a message, late, lost or after a thaw, as the fleet's troubles have it.
func (t *Transport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	what := fmt.Sprint(message.Operation, message.Key, message.Proposal, message.Sequence)
	if address == t.self {
		time.Sleep(time.Duration(t.cluster.drawNumber(address, what) % uint64(50*time.Microsecond)))
		if acceptor := t.cluster.runningAcceptor(address); acceptor != nil {
			return acceptor.Call(ctx, message)
		}
		return keystore.Reply{}, errLost
	}
	type answered struct {
		reply keystore.Reply
		err   error
	}
	replies := make(chan answered, 1)
	go func() {
		reply, err := t.roundTrip(context.WithoutCancel(ctx), address, what, message)
		replies <- answered{reply, err}
	}()
	select {
	case received := <-replies:
		return received.reply, received.err
	case <-ctx.Done():
		return keystore.Reply{}, errLost
	}
}

const lostMessageTimeout = 10 * time.Second

func (t *Transport) roundTrip(ctx context.Context, address, what string, message keystore.Message) (keystore.Reply, error) {
	pass := func(from, to string) bool {
		t.cluster.waitWhileFrozen(from)
		delay, through := t.cluster.delay(from, to, what)
		if !through {
			time.Sleep(lostMessageTimeout)
			return false
		}
		time.Sleep(delay)
		t.cluster.waitWhileFrozen(to)
		return true
	}
	acceptor := t.cluster.runningAcceptor(address)
	if t.cluster.CountsSilenceAsGrant && (acceptor == nil || !pass(t.self, address)) {
		return keystore.Reply{Granted: true}, nil
	}
	if !pass(t.self, address) {
		return keystore.Reply{}, errLost
	}
	if acceptor = t.cluster.runningAcceptor(address); acceptor == nil {
		return keystore.Reply{}, errLost
	}
	served, cancel := context.WithTimeout(ctx, lostMessageTimeout)
	reply, err := acceptor.Call(served, message)
	cancel()
	if err != nil || !pass(address, t.self) {
		return keystore.Reply{}, errLost
	}
	return reply, nil
}

// StoreOf is the store of a running machine, nil for others.
func (c *Cluster) StoreOf(name string) *keystore.Store {
	c.lock.Lock()
	defer c.lock.Unlock()
	if member := c.members[name]; member.running {
		return member.store
	}
	return nil
}

// LosePower loses what a machine's disk has not synced.
func (c *Cluster) LosePower(name string, random *rand.Rand) { c.disk(name).LosePower(random) }
