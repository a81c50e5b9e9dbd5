package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/quota"
)

// Quotas keeps tenants to their limits over all data planes together, see docs/quota.md: it lends this one's share
// to homes, is a home itself, and borrows tokens for requests. Any goroutine may use it.
type Quotas struct {
	parameters quota.Parameters
	name       string
	peers      *peer.Client
	clock      func() time.Time
	// wake has shares lent at once.
	wake chan struct{}

	lock sync.Mutex
	// limited is set while a tenant has a limit: without one nothing is lent.
	limited  bool
	lender   *quota.Lender
	pool     *quota.Pool
	borrower *quota.Borrower
	// address is where this data plane answers others.
	address string
	// addresses are those of the data planes that may be homes, from the list that mark stands for.
	addresses         map[string]string
	neighboursVersion uint64
	// asking holds the calls under way by tenant, and pending the number of requests that wait for them.
	borrowing map[string]chan struct{}
	waiting   map[string]int
}

// NewQuotas returns quotas that know no tenant and no other data plane yet.
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
		name:       settings.NodeName,
		peers:      peers,
		clock:      clock,
		wake:       make(chan struct{}, 1),
		lender:     quota.NewLender(parameters, settings.NodeName, incarnation, now),
		pool:       quota.NewPool(parameters, incarnation, now),
		borrower:   quota.NewBorrower(parameters, settings.NodeName),
		addresses:  map[string]string{},
		borrowing:  map[string]chan struct{}{},
		waiting:    map[string]int{},
	}
}

// hear takes in confirmed news, with the number of data planes that holds with it (0 while it isn't known) and whether that
// is sure, and those that may be homes.
func (q *Quotas) handleUpdate(response peer.WatchResponse, count int, known bool, sentAt time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if count > 0 {
		if !q.lender.HasFreshFleetSize(q.clock()) {
			q.wakeLending()
		}
		since := time.Duration(response.CountedForMs) * time.Millisecond
		q.lender.UpdateFleetSize(quota.FleetSize{DataPlanes: count, CountedFor: since, Established: known}, sentAt)
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

// fill puts into a poll where this data plane answers others and which list of these it holds.
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

// setLimits puts the limits of a configuration in force.
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

// Leave hands back what others lend to this data plane when they come to renew it.
func (q *Quotas) Drain() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.pool.Drain()
}

func (q *Quotas) wakeLending() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// minLendInterval is the least time between two rounds of lending: answers and failures may ask for another one at once.
const minLendInterval = 40 * time.Millisecond

// Run lends until the context ends.
func (q *Quotas) Run(ctx context.Context) {
	ticker := time.NewTicker(q.parameters.RenewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-q.wake:
		}
		for _, offer := range q.planOffers() {
			go q.sendOffer(ctx, offer)
		}
		nodesettings.Sleep(ctx, minLendInterval)
	}
}

// plan names what is to be lent to whom. What is lent to the own pool is lent at once.
func (q *Quotas) planOffers() []addressedOffer {
	q.lock.Lock()
	defer q.lock.Unlock()
	now := q.clock()
	q.borrower.DropIdleAccounts(now)
	if !q.limited {
		return nil
	}
	members := []string{q.name}
	for name := range q.addresses {
		if name != q.name {
			members = append(members, name)
		}
	}
	var planned []addressedOffer
	for _, offer := range q.lender.Plan(members, now) {
		if offer.HomeShard != q.name {
			planned = append(planned, addressedOffer{offer, q.addresses[offer.HomeShard]})
			continue
		}
		if q.lender.HandleReply(q.name, q.pool.Lend(offer.Request, now), now) {
			q.wakeLending()
		}
	}
	return planned
}

type addressedOffer struct {
	quota.Offer
	address string
}

func (q *Quotas) sendOffer(ctx context.Context, offer addressedOffer) {
	var reply quota.LendReply
	err := q.peers.Call(ctx, peer.MethodLend, offer.address, offer.Request, &reply)
	q.lock.Lock()
	defer q.lock.Unlock()
	if err != nil {
		q.lender.HandleFailure(offer.HomeShard, q.clock())
		logrus.WithError(err).WithField("home", offer.HomeShard).Debug("home of tenants' limits gave no answer")
		q.wakeLending()
		return
	}
	if q.lender.HandleReply(offer.HomeShard, reply, q.clock()) {
		q.wakeLending()
	}
}

// routes answers other data planes.
func (q *Quotas) routes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.MethodLend.Path(), peer.Handler(q.handleLend))
	router.Post(peer.MethodBorrow.Path(), peer.Handler(q.handleBorrow))
	return router
}

func (q *Quotas) handleLend(_ context.Context, request quota.LendRequest) quota.LendReply {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.pool.Lend(request, q.clock())
}

func (q *Quotas) handleBorrow(_ context.Context, request quota.BorrowRequest) quota.BorrowReply {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.pool.Borrow(request, q.clock())
}
