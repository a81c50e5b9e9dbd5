package dataplane

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

// Quotas enforces tenants' rate limits across all data planes, see docs/design/quota.md. It lends this node's share of the limits
// to home shards, serves as a home shard itself, and borrows tokens for requests. It is safe for concurrent use.
type Quotas struct {
	parameters quota.Parameters
	node       string
	peers      *peer.Client
	clock      func() time.Time
	// wake triggers a round of lending.
	wake chan struct{}

	// lock guards the fields below. It is never held during a call to another node.
	lock sync.Mutex
	// limited is set while any tenant has a limit; otherwise nothing is lent.
	limited  bool
	lender   *quota.Lender
	pool     *quota.Pool
	borrower *quota.Borrower
	// address is where this node listens for other data planes.
	address string
	// addresses maps the data planes that may be home shards to their addresses, as of neighboursVersion.
	addresses         map[string]string
	neighboursVersion uint64
	// borrowing holds, by tenant, a channel that is closed when the pending call ends. waiting is the number of a tenant's
	// requests that wait for tokens.
	borrowing map[string]chan struct{}
	waiting   map[string]int
	// held queues the requests of other data planes for tokens that this node holds.
	held borrowQueues
}

// NewQuotas returns a Quotas without limits and without other data planes.
func NewQuotas(settings nodesettings.Settings, peers *peer.Client, clock func() time.Time) *Quotas {
	bounds := settings.TimingBounds
	parameters := quota.DefaultParameters(quota.Bounds{
		Window:  nodesettings.Seconds(bounds.QuotaWindowS),
		Overage: bounds.QuotaOverage,
		Slack:   bounds.QuotaSlack,
	})
	incarnation := settings.NodeName + "/" + strconv.FormatUint(rand.Uint64(), 36)
	now := clock()
	return &Quotas{
		parameters: parameters,
		node:       settings.NodeName,
		peers:      peers,
		clock:      clock,
		wake:       make(chan struct{}, 1),
		lender:     quota.NewLender(parameters, settings.NodeName, incarnation, now),
		pool:       quota.NewPool(parameters, incarnation, now),
		borrower:   quota.NewBorrower(parameters, settings.NodeName),
		addresses:  map[string]string{},
		borrowing:  map[string]chan struct{}{},
		waiting:    map[string]int{},
		held:       borrowQueues{},
	}
}

// handleUpdate adopts a confirmed response to a poll sent at sentAt. count is the number of data planes among which the limits
// are divided, or 0 if unknown; reliable is whether it includes all of them.
func (q *Quotas) handleUpdate(response *peer.WatchResponse, count int, reliable bool, sentAt time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if count > 0 {
		if !q.lender.HasFreshFleetSize(q.clock()) {
			q.wakeLending()
		}
		since := time.Duration(response.CountedForMs) * time.Millisecond
		q.lender.UpdateFleetSize(quota.FleetSize{DataPlanes: count, CountedFor: since, Established: reliable}, sentAt)
		q.pool.SetDataPlaneCount(count)
	}
	if response.Neighbours == nil {
		return
	}
	q.neighboursVersion = response.Neighbours.Version
	q.addresses = make(map[string]string, len(response.Neighbours.List))
	for _, neighbour := range response.Neighbours.List {
		q.addresses[neighbour.Name] = neighbour.Address
	}
	q.wakeLending()
}

// fillWatchRequest sets the address and the neighbours version of a poll.
func (q *Quotas) fillWatchRequest(request *peer.WatchRequest) {
	q.lock.Lock()
	defer q.lock.Unlock()
	request.Address, request.NeighboursVersion = q.address, q.neighboursVersion
}

func (q *Quotas) setAddress(address string) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.address = address
}

// setLimits adopts the limits of a configuration.
func (q *Quotas) setLimits(tenants []configuration.Tenant) {
	limits := make(map[string]quota.Limit, len(tenants))
	limited := false
	for _, tenant := range tenants {
		limits[tenant.Name] = limitOf(&tenant)
		limited = limited || tenant.RatePerS > 0
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	if limited && !q.limited {
		q.wakeLending()
	}
	q.limited = limited
	q.pool.SetLimits(limits, q.clock())
}

func limitOf(tenant *configuration.Tenant) quota.Limit {
	return quota.Limit{RatePerS: tenant.RatePerS, Burst: tenant.Burst}
}

// Drain ends each loan to this node's pool when its lender next renews it.
func (q *Quotas) Drain() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.pool.Drain()
}

// routes returns the handler for calls of other data planes.
func (q *Quotas) routes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.MethodLend.Path(), peer.Handler(q.handleLend))
	router.Post(peer.MethodBorrow.Path(), peer.Handler(q.handleBorrow))
	return router
}
