package routing

import (
	"math"
	"slices"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
)

// replicaNode is one replica in the assignment graph of a batch.
type replicaNode struct {
	position   int // in the index's list of replicas
	replica    *Replica
	state      *replicaState
	runtime    *configuration.Runtime
	peerLoad   peer.ReplicaLoad      // load from the other data planes
	models     [stepCount]*stepModel // set for a replica of a disaggregated backend
	warmUp     warmUpLimit
	capacity   int     // requests that may be sent there in this batch
	freeMemory float64 // tokens of KV memory left

	// designated is set if this data plane's share is at least one slot.
	designated bool
	// fallback is set if this data plane's share is a fraction of a slot that was rounded down to none: it may
	// use one slot if no replica is designated for it (see limitToShare).
	fallback bool
}

// requestRow is one request of the batch with the inputs that its scores share.
type requestRow struct {
	request       *Request
	prefillFactor float64 // of the request's model, see modelPrefillFactors
	useLedger     bool    // whether the prefix ledger may be used

	// The following fields are set for a disaggregated backend: the hash and the tokens of the prompt prefix that is shared
	// with other requests, a hash of the whole prompt, and the prefill candidates.
	disaggregated bool
	prefix        uint64
	sharedTokens  float64
	spreadHash    uint64
	prefills      []prefillChoice
}

// assignmentGraph is the bipartite graph of a batch (IEMAS §4.2): requests on one side, the hosts of their
// models on the other. Its buffers are reused from batch to batch to avoid allocations.
type assignmentGraph struct {
	nodes     []replicaNode
	capacity  []int        // of each node, for the solver
	positions []int        // positions of the nodes in the index, ascending
	nodeAt    []int        // index position to node, noNode if it is not part of the batch
	rows      [][]arc      // each request's part of arcs
	arcs      []arc        // all requests' arcs, one row after the other
	scored    []scoredPair // parallel to arcs
	rowStarts []int        // where each request's arcs begin
	solver    flowSolver

	// prefills are the nodes of prefill replicas, and prefillPositions their positions in the index, ascending. They are not
	// part of the flow. nodeAt maps to them as well, since no replica has both phases in a disaggregated backend.
	prefills         []replicaNode
	prefillPositions []int
	// choices holds the prefill candidates of all requests.
	choices []prefillChoice
}

// noNode marks a replica without a node.
const noNode = -1

// resize prepares the graph for a snapshot with the given number of replicas.
func (g *assignmentGraph) resize(replicas int) {
	g.nodeAt = slices.Grow(g.nodeAt[:0], replicas)[:replicas]
	for position := range g.nodeAt {
		g.nodeAt[position] = noNode
	}
}

// reset clears nodeAt after a batch. Nodes, arcs and scores stay readable.
func (g *assignmentGraph) reset() {
	for _, position := range g.positions {
		g.nodeAt[position] = noNode
	}
	for _, position := range g.prefillPositions {
		g.nodeAt[position] = noNode
	}
	g.positions = g.positions[:0]
	g.prefillPositions = g.prefillPositions[:0]
}

// divideRows divides arcs into one row for each request.
func (g *assignmentGraph) divideRows() {
	g.rows = g.rows[:0]
	for row, start := range g.rowStarts {
		end := len(g.arcs)
		if row+1 < len(g.rowStarts) {
			end = g.rowStarts[row+1]
		}
		g.rows = append(g.rows, g.arcs[start:end])
	}
}

// buildNodes adds every host of a model of the batch, in the order of the index.
func (m *Matcher) buildNodes(requests []*Request, now time.Time) {
	graph := &m.graph
	for _, request := range requests {
		for _, position := range request.hostsIn(m.index) {
			if graph.nodeAt[position] == noNode {
				graph.nodeAt[position] = len(graph.positions)
				graph.positions = append(graph.positions, position)
			}
		}
	}
	m.buildPrefillNodes(requests, now)
	slices.Sort(graph.positions)
	graph.nodes = graph.nodes[:0]
	graph.capacity = graph.capacity[:0]
	for index, position := range graph.positions {
		graph.nodeAt[position] = index
		node := m.buildNode(position, now)
		graph.nodes = append(graph.nodes, node)
		graph.capacity = append(graph.capacity, node.capacity)
	}
}

// buildPrefillNodes adds every prefill replica of a model of the batch, in the order of the index.
func (m *Matcher) buildPrefillNodes(requests []*Request, now time.Time) {
	graph := &m.graph
	for _, request := range requests {
		if request.NoPrefillStep {
			continue
		}
		for _, position := range request.prefillHostsIn(m.index) {
			if graph.nodeAt[position] == noNode {
				graph.nodeAt[position] = len(graph.prefillPositions)
				graph.prefillPositions = append(graph.prefillPositions, position)
			}
		}
	}
	slices.Sort(graph.prefillPositions)
	graph.prefills = graph.prefills[:0]
	for index, position := range graph.prefillPositions {
		graph.nodeAt[position] = index
		node := m.buildNode(position, now)
		node.freeMemory -= node.state.unfetched.tokens(now)
		graph.prefills = append(graph.prefills, node)
	}
}

// buildNode returns the node of the replica at a position of the index. Replicas of drained zones get no
// capacity.
func (m *Matcher) buildNode(position int, now time.Time) replicaNode {
	replica := m.index.replicas[position]
	node := replicaNode{
		position: position,
		replica:  replica,
		state:    m.replicas.at(m.index, position),
		peerLoad: m.snapshot.PeerLoads[replica.ID],
	}
	node.state.slowness.adoptPhase(replica.Phase)
	if replica.Phase != "" {
		node.smoothPeerLoad(m.snapshot.PeerLoadsAt)
		for of := range node.models {
			node.models[of] = m.models.at(stepKeyOf(replica, servingStep(of)))
		}
	}
	if !m.snapshot.DrainedZones[replica.Zone] {
		m.measureCapacity(&node, now)
	}
	return node
}

// smoothPeerLoad replaces the load from the other data planes by its moving average.
func (n *replicaNode) smoothPeerLoad(at time.Time) {
	n.peerLoad.PrefillTokens = n.state.peerPending.update(n.peerLoad.PrefillTokens, at)
	n.peerLoad.Running = int(math.Round(n.state.peerRunning.update(float64(n.peerLoad.Running), at)))
}

// unlimitedMemory is the KV memory, in tokens, of a replica whose backend does not configure it.
const unlimitedMemory = 1e12

// measureCapacity sets the slots and the KV memory that this data plane may use at a replica now: none while
// the replica is suspected or has recently rejected a request as full, at most one slot while it is warming up.
func (m *Matcher) measureCapacity(node *replicaNode, now time.Time) {
	replica, state := node.replica, node.state
	backend, _, known := m.snapshot.Table.Backend(replica.Backend)
	if !known || state.isSuspected(now) || now.Before(state.fullUntil) {
		return
	}
	node.runtime = backend.Runtime
	node.warmUp = m.parameters.warmUpLimit(backend.ColdPerS)
	memory := unlimitedMemory
	if backend.Runtime != nil && backend.Runtime.KvCacheTokens > 0 {
		memory = backend.Runtime.KvCacheTokens
	}
	isWarmingUp := now.Before(replica.WarmUpUntil) && backend.ColdPerS > 0
	if isWarmingUp && !m.mayUseWarmingUp(state, node.warmUp.share(m.snapshot.DataPlaneCount), now) {
		return
	}
	node.limitToShare(memory, peerLoadWeight(now.Sub(m.snapshot.PeerLoadsAt)), m.snapshot.DataPlaneCount)
	if isWarmingUp {
		node.capacity = min(node.capacity, 1)
	}
}

// mayUseWarmingUp reports whether this data plane may send one more request to a replica that is warming
// up. What an earlier incarnation of the data plane sent is unknown, so its whole share counts as used at
// the time this incarnation started.
func (m *Matcher) mayUseWarmingUp(state *replicaState, share warmUpShare, now time.Time) bool {
	return now.Sub(m.parameters.StartedAt) >= share.window && state.maySendDuringWarmUp(now, share)
}
