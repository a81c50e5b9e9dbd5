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
	// expireAfter is how long a control-plane node that is not heard of is still sent messages.
	expireAfter = 30 * time.Second
	// introducedAge is how old the heartbeat of a node counts that was only named by others or by the
	// settings: it is sent messages, but isn't taken for one that was heard just now.
	introducedAge = 5 * time.Second
)

// Config says who the node is and how many members the deployment wants.
type Config struct {
	// Self is the address at which other nodes reach this one.
	Self     string
	NodeName string
	Zone     string
	// Seeds are the addresses that the settings name.
	Seeds []string
	// DesiredMembers is how many members survive the losses that the deployment asks to survive.
	DesiredMembers int
	// Clock is the node's steady clock, StartedAt its reading at the start.
	Clock     func() time.Time
	StartedAt time.Time
	// TimeOfDay takes in what the clocks of all control planes say.
	TimeOfDay *wallclock.Estimator
}

// Caller calls a method of another node (peer.Client).
type Caller interface {
	Call(ctx context.Context, method peer.Method, address string, message, reply any) error
}

// DataPlanes is what heartbeats exchange about data planes (dataplanes.Registry).
type DataPlanes interface {
	// Live lists those that sent a watch request within the window.
	Live(now time.Time, window time.Duration) []string
	// RecordContacts records those that another node has heard of.
	RecordContacts(names []string, now time.Time)
}

// Host is the node that the manager works for.
type Host interface {
	// IsConfirmed tells whether a majority confirmed the node's state lately.
	IsConfirmed(now time.Time) bool
	// HeartbeatsSent is called after each round of heartbeats with the other nodes' addresses.
	HeartbeatsSent(others []string)
	// MemberLeaving is called with the address of a node that says that it is about to end.
	MemberLeaving(address string)
	// MembershipCommitted is called with the register of a change that this node committed.
	MembershipCommitted(register keystore.Register)
}

// Manager knows the other control-plane nodes. Any goroutine may call its methods.
type Manager struct {
	config     Config
	store      *keystore.Store
	acceptor   *keystore.Acceptor
	caller     Caller
	dataPlanes DataPlanes
	host       Host

	// lock guards nodes and last.
	lock sync.Mutex
	// nodes holds when each other node was heard, last its last heartbeat.
	nodes          *heartbeat.Registry
	lastHeartbeats map[string]peer.Heartbeat

	leaving     chan struct{}
	caughtUp    chan struct{}
	roundsSent  uint64 // used by the heartbeat loop only
	lastChange  atomic.Pointer[membership.Change]
	lastVerdict atomic.Value // of keystore.BootstrapVerdict
	// sends counts heartbeats and attempts to catch up under way; Run waits for them.
	sends sync.WaitGroup
}

// NewManager returns a manager that has heard of nobody.
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

// Run sends heartbeats and replaces lost members until ctx ends, and returns once what it started has
// ended.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.runHeartbeats(ctx) })
	loops.Go(func() { m.runChanges(ctx) })
	loops.Wait()
	m.sends.Wait()
}

// PeerAddresses lists the addresses, sorted, of all other control-plane nodes that this one knows of: members,
// seeds, and those heard of lately.
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

// AddPeers makes nodes known that others, or the settings, name.
func (m *Manager) AddPeers(addresses []string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, address := range addresses {
		if address != m.config.Self {
			m.nodes.Record(address, heartbeat.Heartbeat{ReportedAt: m.config.Clock().Add(-introducedAge)})
		}
	}
}

// IsReachable tells whether another node, which is not leaving, was heard just now.
func (m *Manager) IsReachable(address string, now time.Time) bool {
	if address == "" || address == m.config.Self {
		return false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return now.Sub(m.nodes.LastReport(address)) < membership.SuspectAfter && !m.lastHeartbeats[address].Leaving
}

// Silent returns the first of the named nodes that is a member and was not heard of for so long that
// it is suspected, or "".
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

// Zones returns the zone of each control-plane node that was ever heard, and of this one.
func (m *Manager) Zones() map[string]string {
	m.lock.Lock()
	defer m.lock.Unlock()
	zones := map[string]string{m.config.Self: m.config.Zone}
	for address, last := range m.lastHeartbeats {
		zones[address] = last.Zone
	}
	return zones
}

// View is what this node sees of the control plane, for the decisions of internal/membership.
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

// LastChange is the last change of the membership that this node committed, or nil.
func (m *Manager) LastChange() *membership.Change { return m.lastChange.Load() }
