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
	// LeaseDuration is how long members grant a lease.
	LeaseDuration = 1500 * time.Millisecond

	segmentBytes = 64 << 10
	// diskRetryInterval is the pause after a disk has rejected what a process needs to start.
	diskRetryInterval = 100 * time.Millisecond
	// catchUpInterval is the pause between the attempts of a member without a vote.
	catchUpInterval = 200 * time.Millisecond
)

// member is one simulated machine: its disk outlives the processes on it.
type member struct {
	disk *Disk
	zone int
	// frozen counts the faults that have the machine stand still at present.
	frozen int
	// incarnations counts the processes that were started on the machine.
	incarnations uint32
	process      process
}

// process is what runs on a machine, or ran last.
type process struct {
	running  bool
	handle   *Handle
	acceptor *keystore.Acceptor
	store    *keystore.Store
	stop     context.CancelFunc
}

// link leads from one machine to another.
type link struct {
	from, to string
}

// Cluster is a set of members with the network between them.
type Cluster struct {
	// Names lists the machines that are, or are to be, members; use MemberNames while a test changes them.
	Names []string
	// Lossy has the network lose some messages. Where it Retransmits, they arrive late instead.
	Lossy       bool
	Retransmits bool

	// ClockDrift is the share by which the monotonic clock of a machine runs too fast or too slow at most. Each machine has its own
	// rate for as long as the simulation lasts.
	ClockDrift float64

	// The following are broken variants, for tests to find.

	// VotesWithoutCatchUp has a member that lost its disk vote at once.
	VotesWithoutCatchUp bool
	// SkipsSync has members reply before their disks sync.
	SkipsSync bool
	// CountsMissingReplyAsGrant has a message that gets no reply count as granted.
	CountsMissingReplyAsGrant bool
	// UsesWallClock has members measure leases by a clock that is set now and then.
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

// New makes machines named member-0 and so on; the seed draws delays and losses.
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

// Start starts a process on a machine. When bootstrapping, it is an initial member of a system that starts for the first
// time.
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

// openWAL opens the write-ahead log on a disk, and tries again while the disk rejects it.
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

// Kill ends the process on a machine; its disk stays as it is.
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

// LosePower loses what a machine's disk has not synced. The process must have been killed.
func (c *Cluster) LosePower(name string, random *rand.Rand) { c.disk(name).LosePower(random) }

// StoreOf is the store of a running process, nil for others.
func (c *Cluster) StoreOf(name string) *keystore.Store {
	c.lock.Lock()
	defer c.lock.Unlock()
	if process := c.members[name].process; process.running {
		return process.store
	}
	return nil
}

// AcceptorOf is the acceptor of a running process, nil for others.
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

// drawNumber draws a number that depends on the seed and the parts alone.
func (c *Cluster) drawNumber(parts ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, c.seed, parts)
	source := rand.NewPCG(hash.Sum64(), c.seed)
	return source.Uint64()
}
