package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/test/keystoresim"
)

const (
	// simulatedHistory is how long events are kept: longer than a schedule runs, so that no watch may miss an event.
	simulatedHistory = time.Minute
	// heartbeatInterval and suspectAfter equal those of the control plane.
	heartbeatInterval = 400 * time.Millisecond
	suspectAfter      = 1600 * time.Millisecond
	// allowedDrift is the maximum drift of the control planes' monotonic clocks relative to that of applications, which is exact
	// here.
	allowedDrift = 1.0 / 500
	// voteTimeout is the time within which all members must vote again after a fault.
	voteTimeout = time.Minute
	// settleTime is the fake time after which all remaining goroutines have ended.
	settleTime = time.Minute
)

var errUnreachable = errors.New("no answer")

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.WarnLevel)
	keystoresim.Main(m.Run)
}

// simulation is a simulated cluster of members, each of which runs a coordinator.
type simulation struct {
	cluster *keystoresim.Cluster
	// open, wrapStore and changeHandover inject defects. Each may be nil.
	open      openFunc
	wrapStore func(store Store) Store
	// changeHandover modifies the answer of a previous owner.
	changeHandover func(handover *coordination.Handover)

	lock      sync.Mutex
	nodes     map[string]*simulatedNode
	lastHeard map[heardKey]time.Time
	calls     uint64
}

type heardKey struct{ by, of string }

// simulatedNode is the coordinator in one process.
type simulatedNode struct {
	simulation   *simulation
	name         string
	store        *keystore.Store
	router       *Router
	groupWatcher *GroupWatcher
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		cluster:   keystoresim.New(seed, 5),
		nodes:     map[string]*simulatedNode{},
		lastHeard: map[heardKey]time.Time{},
	}
	s.cluster.AssignZones([][]int{{2, 2, 1}, {2, 1, 1, 1}, {3, 2}}[seed%3]...)
	s.cluster.Lossy, s.cluster.Retransmits = seed%2 == 0, true
	if seed%3 > 0 {
		s.cluster.ClockDrift = allowedDrift
	}
	return s
}

func (s *simulation) start() {
	for _, name := range s.cluster.Names {
		s.cluster.Start(name, true)
	}
}

// end kills all processes and waits until their goroutines have ended.
func (s *simulation) end() {
	for _, name := range s.cluster.MemberNames() {
		s.cluster.Kill(name)
	}
	s.lock.Lock()
	for _, node := range s.nodes {
		node.groupWatcher.cancel()
	}
	s.lock.Unlock()
	time.Sleep(settleTime)
}

// runHeartbeats records, until ctx is done, which node can reach which.
func (s *simulation) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		names := s.cluster.MemberNames()
		for _, by := range names {
			for _, of := range names {
				if by != of && s.cluster.CanReach(of, by) {
					s.lock.Lock()
					s.lastHeard[heardKey{by, of}] = now
					s.lock.Unlock()
				}
			}
		}
		nodesettings.Sleep(ctx, heartbeatInterval)
	}
}

// node returns the coordinator of the process that runs on a machine, or nil if none does.
func (s *simulation) node(name string) *simulatedNode {
	store := s.cluster.StoreOf(name)
	if store == nil {
		return nil
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if known := s.nodes[name]; known != nil && known.store == store {
		return known
	} else if known != nil {
		known.groupWatcher.cancel()
	}
	started := &simulatedNode{simulation: s, name: name, store: store}
	var operated Store = store
	if s.wrapStore != nil {
		operated = s.wrapStore(store)
	}
	clock := s.cluster.Clock(name)
	executor := NewExecutor(operated, coordination.Config{EventRetention: simulatedHistory}, clock)
	if s.open != nil {
		executor.open = s.open
	}
	started.router = NewRouter(name, started, started, executor, clock)
	started.groupWatcher = NewGroupWatcher(started.router, nil, clock)
	s.nodes[name] = started
	return started
}

// Members implements Cluster.
func (n *simulatedNode) Members() []string { return n.store.Membership().Current }

// IsReachable implements Cluster.
func (n *simulatedNode) IsReachable(address string) bool {
	n.simulation.lock.Lock()
	defer n.simulation.lock.Unlock()
	return time.Since(n.simulation.lastHeard[heardKey{n.name, address}]) < suspectAfter
}

// MayOwn implements Cluster.
func (n *simulatedNode) MayOwn() bool {
	acceptor := n.simulation.cluster.AcceptorOf(n.name)
	return acceptor != nil && acceptor.LocalState().Voting
}

// IsConfirmed implements Cluster.
func (*simulatedNode) IsConfirmed() bool { return true }

// LastOwner implements Cluster.
func (n *simulatedNode) LastOwner(key string) string {
	acceptor := n.simulation.cluster.AcceptorOf(n.name)
	if acceptor == nil {
		return ""
	}
	return acceptor.Durable()[key].Promised.Proposer
}

// Call implements Caller over the simulated network.
func (n *simulatedNode) Call(ctx context.Context, method peer.Method, address string, message, reply any) error {
	if method == peer.MethodHandOver {
		return callOver(ctx, n, address, reply.(*peer.HandoverReply), func(receiver *simulatedNode) peer.HandoverReply {
			answer := receiver.router.HandleHandover(context.WithoutCancel(ctx), message.(peer.HandoverRequest))
			if n.simulation.changeHandover != nil {
				n.simulation.changeHandover(&answer.Handover)
			}
			return answer
		})
	}
	return callOver(ctx, n, address, reply.(*peer.CoordinationReply), func(receiver *simulatedNode) peer.CoordinationReply {
		return receiver.router.HandleForwarded(context.WithoutCancel(ctx), message.(peer.CoordinationRequest))
	})
}

// callOver carries a call and its answer over the simulated network.
func callOver[Reply any](
	ctx context.Context, n *simulatedNode, address string, reply *Reply, handle func(receiver *simulatedNode) Reply,
) error {
	content := n.simulation.nextCall()
	answered := make(chan Reply, 1)
	go func() {
		if !n.simulation.cluster.Deliver(n.name, address, content) {
			return
		}
		receiver := n.simulation.node(address)
		if receiver == nil {
			return
		}
		answer := handle(receiver)
		if n.simulation.node(address) == receiver && n.simulation.cluster.Deliver(address, n.name, content) {
			answered <- answer
		}
	}()
	select {
	case answer := <-answered:
		*reply = answer
		return nil
	case <-ctx.Done():
		return errUnreachable
	}
}

// nextCall returns a unique name for a message.
func (s *simulation) nextCall() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.calls++
	return fmt.Sprint("call-", s.calls)
}

// injectFaults has faults injectFaults until a time, each once all members vote again.
func (s *simulation) injectFaults(random *rand.Rand, faults []keystoresim.Fault, until time.Time) error {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(900*time.Millisecond))) + 50*time.Millisecond)
		var together sync.WaitGroup
		for _, fault := range faults {
			names := s.cluster.MemberNames()
			name := names[random.IntN(len(names))]
			duration := time.Duration(random.Int64N(int64(3*time.Second))) + 20*time.Millisecond
			source := rand.New(rand.NewPCG(random.Uint64(), 29))
			together.Go(func() { fault(s.cluster, name, source, duration) })
		}
		together.Wait()
		if !s.cluster.WaitUntilAllVote(voteTimeout) {
			return errors.New("a member never voted again")
		}
	}
	return nil
}

// killAll kills all processes, in half of the cases by a power loss of all machines, and restarts them.
func killAll(cluster *keystoresim.Cluster, _ string, random *rand.Rand, duration time.Duration) {
	losesPower := random.IntN(2) == 0
	names := cluster.MemberNames()
	for _, name := range names {
		cluster.Kill(name)
		if losesPower {
			cluster.LosePower(name, random)
		}
	}
	time.Sleep(duration / 3)
	for _, name := range names {
		cluster.Start(name, false)
	}
}

// rewrite returns an openFunc that modifies stored values of one kind before decoding them.
func rewrite(kind coordination.Kind, change func(record map[string]any)) openFunc {
	return func(
		opened coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.VolatileState,
	) (coordination.Item, error) {
		if opened == kind && len(value) > 0 {
			record := map[string]any{}
			if err := json.Unmarshal(value, &record); err != nil {
				return nil, err
			}
			change(record)
			value, _ = json.Marshal(record)
		}
		return coordination.Open(opened, value, now, config, known)
	}
}
