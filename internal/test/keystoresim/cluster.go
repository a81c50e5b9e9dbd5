package keystoresim

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

const (
	// LeaseDuration is the duration for which members grant a lease.
	LeaseDuration = 1500 * time.Millisecond

	segmentBytes = 64 << 10
	// diskRetryInterval is the pause after the disk has rejected an operation that a process needs to start.
	diskRetryInterval = 100 * time.Millisecond
	// catchUpInterval is the pause between the catch-up attempts of a non-voting member.
	catchUpInterval = 200 * time.Millisecond
)

// member is one simulated machine: its disk outlives the processes on it.
type member struct {
	disk *Disk
	zone int
	// frozen is the number of current faults that freeze the machine.
	frozen int
	// incarnations is the number of processes started on the machine so far.
	incarnations uint32
	process      process
}

// process is the current or last process on a machine.
type process struct {
	running  bool
	handle   *Handle
	acceptor *keystore.Acceptor
	store    *keystore.Store
	stop     context.CancelFunc
}

// link is one direction of the connection between two machines.
type link struct {
	from, to string
}

// Cluster is a set of simulated machines and the network between them.
type Cluster struct {
	// Names lists the machines that are members or will become members. Use MemberNames while a test changes them.
	Names []string
	// Lossy makes the network lose some messages. With Retransmits, they arrive late instead.
	Lossy       bool
	Retransmits bool

	// ClockDrift is the maximum relative error of a machine's monotonic clock. Each machine has its own constant rate.
	ClockDrift float64

	// The following fields inject implementation faults, which tests must detect.

	// VotesWithoutCatchUp makes a member that lost its disk vote immediately.
	VotesWithoutCatchUp bool
	// SkipsSync makes members reply before their disks sync.
	SkipsSync bool
	// CountsMissingReplyAsGrant makes a message without a reply count as granted.
	CountsMissingReplyAsGrant bool
	// UsesWallClock makes members measure leases by a wall clock that is stepped now and then.
	UsesWallClock bool

	seed             uint64
	lock             sync.Mutex
	members          map[string]*member
	cutLinks         map[link]int
	sent             map[string]uint64
	bootstrapMembers []string
	clockOffsets     map[string]time.Duration
	zoneCount        int
}

// New returns a cluster of machines named member-0 and so on. Delays and losses are derived from the seed.
func New(seed uint64, size int) *Cluster {
	cluster := &Cluster{
		seed:         seed,
		members:      map[string]*member{},
		cutLinks:     map[link]int{},
		sent:         map[string]uint64{},
		clockOffsets: map[string]time.Duration{},
	}
	for index := range size {
		name := fmt.Sprintf("member-%d", index)
		cluster.Names = append(cluster.Names, name)
		cluster.members[name] = &member{disk: NewDisk()}
	}
	return cluster
}

// Start starts a process on a machine. With bootstrapping, the machine is an initial member of a new system.
func (c *Cluster) Start(name string, bootstrapping bool) {
	machine := c.member(name)
	machine.incarnations++
	handle := machine.disk.Attach()
	handle.skipsSync = c.SkipsSync
	log := openWAL(handle)
	if len(log.State()) == 0 {
		c.initialize(name, log, bootstrapping)
	}
	config := keystore.AcceptorConfig{LeaseDuration: LeaseDuration, Clock: c.Clock(name)}
	acceptor := keystore.NewAcceptor(name, log, config, bootstrapping)
	known := acceptor.Membership()
	if known.Version == 0 {
		known = c.bootstrapMembership()
	}
	incarnation := c.drawNumber(name, "life", uint64(machine.incarnations))
	store := keystore.NewStore(name, incarnation, &transport{cluster: c, self: name}, known)
	ctx, cancel := context.WithCancel(context.Background())
	c.lock.Lock()
	machine.process = process{
		running:  true,
		handle:   handle,
		acceptor: acceptor,
		store:    store,
		stop:     cancel,
	}
	c.lock.Unlock()
	go acceptor.Run(ctx)
	go catchUp(ctx, store, acceptor)
}

// openWAL opens the write-ahead log on a disk, and retries while the disk rejects operations.
func openWAL(handle *Handle) *keystore.WAL {
	for {
		log, err := keystore.OpenWAL(handle, keystore.SegmentCount, segmentBytes)
		if err == nil {
			return log
		}
		time.Sleep(diskRetryInterval)
	}
}

// initialize writes the first state of a member with an empty disk.
func (c *Cluster) initialize(name string, log *keystore.WAL, bootstrapping bool) {
	count := c.member(name).incarnations
	diskIncarnation := uint64(count)<<32 | c.drawNumber(name, "incarnation", uint64(count))>>32 | 1
	first := keystore.WipedRegisters(diskIncarnation)
	if bootstrapping || c.VotesWithoutCatchUp {
		first = keystore.BootstrapRegisters(c.bootstrapMembership(), diskIncarnation)
	}
	for log.Append(first) != nil {
		time.Sleep(diskRetryInterval)
	}
}

func catchUp(ctx context.Context, store *keystore.Store, acceptor *keystore.Acceptor) {
	for ctx.Err() == nil {
		if votes, _ := store.CatchUp(ctx, acceptor); votes {
			return
		}
		time.Sleep(catchUpInterval)
	}
}

// Kill ends the process on a machine. It does not change the disk, unsynced writes included.
func (c *Cluster) Kill(name string) {
	machine := c.member(name)
	c.lock.Lock()
	machine.process.running = false
	c.lock.Unlock()
	if machine.process.stop != nil {
		machine.process.stop()
		machine.process.handle.Kill()
	}
}

// LosePower loses unsynced writes of a machine's disk. The process must have been killed.
func (c *Cluster) LosePower(name string, random *rand.Rand) { c.disk(name).LosePower(random) }

// StoreOf returns the store of the process on a machine, or nil if none is running.
func (c *Cluster) StoreOf(name string) *keystore.Store {
	c.lock.Lock()
	defer c.lock.Unlock()
	if process := c.members[name].process; process.running {
		return process.store
	}
	return nil
}

// AcceptorOf returns the acceptor of the process on a machine, or nil if none is running.
func (c *Cluster) AcceptorOf(name string) *keystore.Acceptor {
	c.lock.Lock()
	defer c.lock.Unlock()
	if process := c.members[name].process; process.running {
		return process.acceptor
	}
	return nil
}

func (c *Cluster) member(name string) *member {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.members[name]
}

func (c *Cluster) disk(name string) *Disk { return c.member(name).disk }

// drawNumber returns a random number that depends only on the seed and the parts.
func (c *Cluster) drawNumber(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, c.seed, parts)
	source := rand.NewPCG(hash.Sum64(), c.seed)
	return source.Uint64()
}
