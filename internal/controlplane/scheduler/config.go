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

// State is the part of the control plane's published state that the scheduler decides by.
type State struct {
	// Version rises with each change of the published state or of the list of replicas.
	Version uint64
	// Revision is that of the configuration in force, 0 before the first one; PackedConfiguration is its compressed
	// document.
	Revision            int64
	PackedConfiguration []byte
	// Differences is the chain of the last differences that led to Revision.
	Differences []configuration.Difference
	// Zones are the zones' evacuations by name.
	Zones map[string]peer.ZoneState
	// RosterAsOf is a moment at or before which the list of replicas was made; zero before the first list.
	RosterAsOf time.Time
	Retention  retention.Policy
	Purges     []retention.Purge
}

// StateReader reads the published state. It is called from several goroutines.
type StateReader interface {
	State() State
}

// Roster is the fleet-wide list of replicas that the control planes share.
type Roster interface {
	// Current returns the list and a moment at or before which it was made. Neither is changed later.
	Current() ([]discovery.Replica, time.Time)
	// PublishPlacement publishes the list again, since the scheduler's observations of so many replicas have changed.
	PublishPlacement(replicas int)
}

// PurgeStore changes purges in the key store.
type PurgeStore interface {
	// UpdatePurge applies a change to the purge of a number; change returns false where nothing is to be written. It
	// returns false if the store failed.
	UpdatePurge(ctx context.Context, number uint64, change func(purge *retention.Purge) bool) bool
}

// ReplicaClient calls replicas.
type ReplicaClient interface {
	// SendOrder sends an order once and returns the status of the response. After an error other than
	// replica.ErrNotSent the order may or may not have been taken.
	SendOrder(ctx context.Context, address, id string, order replica.Order) (int, error)
	FetchReport(ctx context.Context, address, id string) (replica.Report, error)
}

// Settings are the settings of the node that the scheduler goes by.
type Settings struct {
	// ListLag is how far the platform's list may lag behind the replicas.
	ListLag time.Duration
	// StoreLimit is the limit of the store of weights. Its rate comes from the configuration.
	StoreLimit loadbudget.StoreLimit
	// Zones holds the region of each zone by name.
	Zones map[string]string
}

// Config is what a scheduler is made of. Every field is needed.
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

// LeaseConfig is what a LeaseElector is made of.
type LeaseConfig struct {
	Manager *lease.Manager
	Cluster Cluster
	// SeedRank is the node's position among the seeds, by which it puts off its first attempt.
	SeedRank int
	// Leaving is closed when the node begins to shut down.
	Leaving <-chan struct{}
}

// Cluster is what a LeaseElector asks about this node and the others before it takes the lease.
type Cluster interface {
	// MayAcquireLease tells whether this node votes, belongs to the membership and has state that a majority confirmed
	// lately.
	MayAcquireLease(now time.Time) bool
	// IsLeaseHolderReachable tells whether another node was the last known lease holder and was heard from lately.
	IsLeaseHolderReachable(now time.Time) bool
}
