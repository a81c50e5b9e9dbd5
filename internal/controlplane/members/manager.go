package members

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ferryspar/internal/heartbeat"
	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
	"ferryspar/internal/peer"
	"ferryspar/internal/wallclock"
)

const (
	// expireAfter is how long messages are sent to a control-plane node after it was last heard from.
	expireAfter = 30 * time.Second
	// unheardPeerAge is the assumed age of the last heartbeat of a node that only other nodes or the settings have named.
	// Messages are sent to such a node, but it does not count as reachable.
	unheardPeerAge = 5 * time.Second
)

// Config holds the identity of the node and the desired number of members.
type Config struct {
	// Self is the address at which other nodes reach this one.
	Self     string
	NodeName string
	Zone     string
	// Seeds holds the addresses of the control planes in the settings.
	Seeds []string
	// DesiredMembers is the number of members needed to tolerate the number of machine losses in the settings.
	DesiredMembers int
	// Clock is the node's monotonic clock, and StartedAt is its reading at the start.
	Clock     func() time.Time
	StartedAt time.Time
	// TimeOfDay estimates the time of day from the clocks of all control planes.
	TimeOfDay *wallclock.Estimator
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// DataPlanes provides the information on data planes that heartbeats exchange (dataplanes.Registry).
type DataPlanes interface {
	// Live returns the data planes that sent a watch request within the window.
	Live(now time.Time, window time.Duration) []string
	// RecordContacts records that another node is in contact with the named data planes.
	RecordContacts(names []string, now time.Time)
}

// Host is the node that a Manager belongs to.
type Host interface {
	// IsConfirmed reports whether a majority recently confirmed the node's state.
	IsConfirmed(now time.Time) bool
	// HeartbeatsSent is called after each round of heartbeats with the other nodes' addresses.
	HeartbeatsSent(others []string)
	// MemberLeaving is called with the address of a node that has announced that it is leaving.
	MemberLeaving(address string)
	// MembershipCommitted is called with the register of a change that this node committed.
	MembershipCommitted(register keystore.Register)
}

// Manager tracks the other control-plane nodes and takes part in membership changes. It is safe for concurrent use.
type Manager struct {
	config     Config
	store      *keystore.Store
	acceptor   *keystore.Acceptor
	caller     Caller
	dataPlanes DataPlanes
	host       Host

	// lock guards nodes and lastHeartbeats.
	lock sync.Mutex
	// nodes holds the time at which each other node was last heard from, and lastHeartbeats its last heartbeat.
	nodes          *heartbeat.Registry
	lastHeartbeats map[string]peer.Heartbeat

	leaving     chan struct{}
	caughtUp    chan struct{}
	roundsSent  uint64 // used by the heartbeat loop only
	lastChange  atomic.Pointer[membership.Change]
	lastVerdict atomic.Value // of keystore.BootstrapVerdict
	// inFlight tracks the heartbeats and catch-up attempts in progress, for which Run waits.
	inFlight sync.WaitGroup
}

// NewManager returns a manager that has received no heartbeats.
func NewManager(
	config Config, store *keystore.Store, acceptor *keystore.Acceptor, caller Caller, dataPlanes DataPlanes, host Host,
) *Manager {
	return &Manager{
		config:         config,
		store:          store,
		acceptor:       acceptor,
		caller:         caller,
		dataPlanes:     dataPlanes,
		host:           host,
		nodes:          heartbeat.NewRegistry(expireAfter),
		lastHeartbeats: map[string]peer.Heartbeat{},
		leaving:        make(chan struct{}),
		caughtUp:       make(chan struct{}, 1),
	}
}

// Run sends heartbeats and replaces failed members until ctx is done, and returns once its goroutines have ended.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.runHeartbeats(ctx) })
	loops.Go(func() { m.runChanges(ctx) })
	loops.Wait()
	m.inFlight.Wait()
}

// PeerAddresses returns the sorted addresses of all other known control-plane nodes: members, seeds, and those heard of within
// expireAfter.
func (m *Manager) PeerAddresses() []string {
	known := map[string]bool{}
	for _, member := range m.store.Membership().All() {
		known[member] = true
	}
	for _, seed := range m.config.Seeds {
		known[seed] = true
	}
	m.lock.Lock()
	for _, address := range m.nodes.Live(m.config.Clock(), expireAfter) {
		known[address] = true
	}
	m.lock.Unlock()
	delete(known, m.config.Self)
	return slices.Sorted(maps.Keys(known))
}

// AddPeers adds nodes that other nodes or the settings have named.
func (m *Manager) AddPeers(addresses []string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, address := range addresses {
		if address != m.config.Self {
			m.nodes.Record(address, heartbeat.Heartbeat{ReportedAt: m.config.Clock().Add(-unheardPeerAge)})
		}
	}
}

// IsReachable reports whether another node was heard from recently and is not leaving.
func (m *Manager) IsReachable(address string, now time.Time) bool {
	if address == "" || address == m.config.Self {
		return false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return now.Sub(m.nodes.LastReport(address)) < membership.SuspectAfter && !m.lastHeartbeats[address].Leaving
}

// Silent returns the first of the named nodes that is a member and has sent no heartbeat for longer than membership.SuspectAfter,
// or "".
func (m *Manager) Silent(addresses []string, now time.Time) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, address := range addresses {
		isMember := m.store.Membership().IsCurrent(address)
		if isMember && now.Sub(m.nodes.LastReport(address)) > membership.SuspectAfter {
			return address
		}
	}
	return ""
}

// Zones returns the zones, by address, of this node and of each control-plane node that was ever heard from.
func (m *Manager) Zones() map[string]string {
	m.lock.Lock()
	defer m.lock.Unlock()
	zones := map[string]string{m.config.Self: m.config.Zone}
	for address, last := range m.lastHeartbeats {
		zones[address] = last.Zone
	}
	return zones
}

// View returns this node's view of the control plane, from which internal/membership decides on changes.
func (m *Manager) View() membership.View {
	now := m.config.Clock()
	local := m.acceptor.LocalState()
	view := membership.View{
		Membership:     m.store.Membership(),
		Self:           m.config.Self,
		DesiredMembers: m.config.DesiredMembers,
		Peers:          map[string]membership.Peer{},
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	for address, last := range m.lastHeartbeats {
		view.Peers[address] = membership.Peer{
			Address:           address,
			Zone:              last.Zone,
			SinceLastHeard:    now.Sub(m.nodes.LastReport(address)),
			Joining:           last.Joining,
			Leaving:           last.Leaving,
			MembershipVersion: last.MembershipVersion,
			Suspects:          last.Unreachable,
		}
	}
	view.Peers[m.config.Self] = membership.Peer{
		Address:           m.config.Self,
		Zone:              m.config.Zone,
		Joining:           !local.Voting,
		Leaving:           m.IsLeaving(),
		MembershipVersion: local.MembershipVersion,
	}
	return view
}

// LastChange returns the last membership change that this node committed, or nil.
func (m *Manager) LastChange() *membership.Change { return m.lastChange.Load() }
