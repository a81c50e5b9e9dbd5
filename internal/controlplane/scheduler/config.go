package scheduler

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
	"ferryspar/internal/retention"
)

// State is the part of the control plane's published state that the scheduler depends on.
type State struct {
	// Version increases with each change of the published state or of the replica list.
	Version uint64
	// Revision is the revision of the active configuration, 0 before the first one; PackedConfiguration is its compressed
	// document.
	Revision            int64
	PackedConfiguration []byte
	// Differences holds the most recent consecutive differences that led to Revision.
	Differences []configuration.Delta
	// Zones holds the evacuation state of each zone, by name.
	Zones map[string]peer.ZoneState
	// RosterAsOf is a time no later than that of the replica list; zero before the first list.
	RosterAsOf time.Time
	Retention  retention.Policy
	Purges     []retention.Purge
}

// StateReader reads the published state. It is called from several goroutines.
type StateReader interface {
	State() State
}

// Roster is the fleet-wide replica list shared by the control planes.
type Roster interface {
	// Current returns the list and a time no later than that of the list. Neither is modified afterwards.
	Current() ([]discovery.Replica, time.Time)
	// PublishPlacement republishes the list after the scheduler's observations, which cover the given number of replicas, have
	// changed.
	PublishPlacement(replicas int)
}

// PurgeStore changes purges in the key store.
type PurgeStore interface {
	// UpdatePurge applies change to the purge with the given number; change returns false if there is nothing to write.
	// UpdatePurge returns false if the store failed.
	UpdatePurge(ctx context.Context, number uint64, change func(purge *retention.Purge) bool) bool
}

// ReplicaClient calls replicas.
type ReplicaClient interface {
	// SendOrder sends an order once and returns the status of the response. After any error except replica.ErrNotSent the
	// replica may or may not have accepted the order.
	SendOrder(ctx context.Context, address, id string, order replica.Order) (int, error)
	FetchReport(ctx context.Context, address, id string) (replica.Report, error)
}

// Settings are the node settings that the scheduler uses.
type Settings struct {
	// ListLag is the maximum lag of the platform's list behind the replicas.
	ListLag time.Duration
	// StoreLimit is the load limit of the model store. Its rate is taken from the configuration.
	StoreLimit loadbudget.StoreLimit
	// Zones maps each zone to its region.
	Zones map[string]string
}

// Config holds the settings and dependencies of a Scheduler. All fields are required.
type Config struct {
	Settings  Settings
	Clock     func() time.Time
	StartedAt time.Time
	Lease     LeaseConfig
	State     StateReader
	Roster    Roster
	Purges    PurgeStore
	Replicas  ReplicaClient
}

// LeaseConfig holds the settings and dependencies of a LeaseElector.
type LeaseConfig struct {
	Manager *lease.Manager
	Cluster Cluster
	// SeedRank is the node's position among the seeds, which determines the delay of its first attempt.
	SeedRank int
	// Leaving is closed when the node begins to shut down.
	Leaving <-chan struct{}
}

// Cluster is the state of this node and the others that a LeaseElector checks before it tries to acquire the lease.
type Cluster interface {
	// MayAcquireLease reports whether this node votes, belongs to the membership and has state that a majority confirmed
	// recently.
	MayAcquireLease(now time.Time) bool
	// IsLeaseHolderReachable reports whether the last known lease holder is another node that was heard from recently.
	IsLeaseHolderReachable(now time.Time) bool
}
