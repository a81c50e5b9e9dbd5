package applications

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordinationclient"
)

// Options configures a run.
type Options struct {
	// Addresses are the addresses of the control planes (host:port).
	Addresses []string
	// Callers is the number of concurrent applications, CallsPerS the rate of the calls of all of them together.
	Callers   int
	CallsPerS float64
	// Duration is how long the applications make calls.
	Duration time.Duration
	// Locks, Counters, Keys and Watches are the numbers of each. All keys belong to one group, which all watches watch.
	Locks, Counters, Keys, Watches int
	// LockDuration is the time after which a lock expires if it is not renewed.
	LockDuration time.Duration
	// NamePrefix is the prefix of the names of locks, counters and keys; it keeps concurrent runs apart.
	NamePrefix string
	// Seed is the seed of the random sequence of calls.
	Seed uint64
}

// callTimeout is the timeout of one operation, which may consist of several calls with all their attempts.
const callTimeout = 5 * time.Second

// run is the state of a run in progress.
type run struct {
	options Options
	client  *coordinationclient.Client
	checks  *checks
	results *results
}

// Run runs the applications for the configured duration and returns the measurements and the violations found.
func Run(ctx context.Context, options Options, transport http.RoundTripper) (Report, error) {
	if options.Callers < 1 || options.CallsPerS <= 0 || min(options.Locks, options.Counters, options.Keys) < 1 {
		return Report{}, errors.New("callers, rate, locks, counters and keys must be above 0")
	}
	r := &run{
		options: options,
		client:  &coordinationclient.Client{Addresses: options.Addresses, HTTP: &http.Client{Transport: transport}},
		checks:  newChecks(),
		results: newResults(),
	}
	startRevision, err := r.putInitial(ctx)
	if err != nil {
		return Report{}, errors.Wrap(err, "first put")
	}
	watchContext, stopWatching := context.WithCancel(ctx)
	var watches, callers sync.WaitGroup
	for number := range options.Watches {
		watches.Go(func() { r.watch(watchContext, number, startRevision) })
	}
	callContext, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	for number := range options.Callers {
		callers.Go(func() { r.runCaller(callContext, number) })
	}
	callers.Wait()
	r.checks.awaitWatches(ctx, options.Watches)
	stopWatching()
	watches.Wait()
	return r.results.report(options, r.checks), nil
}

func (r *run) group() string { return r.options.NamePrefix + "-keys." }

// putInitial writes the first key of the group and returns the revision at which the watches start.
func (r *run) putInitial(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.client.Put(bounded, r.group()+"first", fmt.Sprint(r.options.Seed), 0)
	var conflict coordinationclient.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return 0, err
	}
	return r.client.Revision(bounded, r.group())
}

// watch runs one watch until the context ends and records its events.
func (r *run) watch(ctx context.Context, number int, after uint64) {
	for ctx.Err() == nil {
		next, err := r.client.Watch(ctx, r.group(), after, func(event coordinationclient.Event) error {
			r.checks.delivered(number, event)
			return nil
		})
		after = next
		if err != nil && ctx.Err() == nil {
			r.results.fail("watch", err)
			time.Sleep(time.Second)
		}
	}
}

// runCaller makes calls at one caller's share of the rate until the context ends.
func (r *run) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	interval := time.Duration(float64(r.options.Callers) / r.options.CallsPerS * float64(time.Second))
	for iteration := 0; ctx.Err() == nil; iteration++ {
		startedAt := time.Now()
		calls := r.makeCalls(ctx, random, number, iteration)
		rest := time.Duration(calls)*interval - time.Since(startedAt)
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
}

// makeCalls performs one random operation and returns the number of calls it made.
func (r *run) makeCalls(ctx context.Context, random *rand.Rand, number, iteration int) int {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	switch random.IntN(3) {
	case 0:
		return r.holdLock(bounded, random, number)
	case 1:
		r.nextNumber(bounded, random)
		return 1
	default:
		return r.changeKey(bounded, random, fmt.Sprintf("%d-%d-%d", r.options.Seed, number, iteration))
	}
}

// holdLock acquires a lock, renews it once and releases it.
func (r *run) holdLock(ctx context.Context, random *rand.Rand, number int) int {
	lock := fmt.Sprintf("%s-lock-%d", r.options.NamePrefix, random.IntN(r.options.Locks))
	var hold *coordinationclient.Lock
	err := r.results.measure("acquire", func() (err error) {
		hold, err = r.client.Acquire(ctx, lock, fmt.Sprintf("%s-%d", r.options.NamePrefix, number), r.options.LockDuration)
		return err
	})
	if err != nil {
		return 1
	}
	r.checks.acquired(lock, hold)
	_ = r.results.measure("renew", func() error { return hold.Renew(ctx) })
	r.checks.releasing(lock, hold)
	_ = r.results.measure("release", func() error { return hold.Release(ctx) })
	return 3
}

func (r *run) nextNumber(ctx context.Context, random *rand.Rand) {
	counter := fmt.Sprintf("%s-number-%d", r.options.NamePrefix, random.IntN(r.options.Counters))
	floor := r.checks.highest(counter)
	_ = r.results.measure("next", func() error {
		value, err := r.client.Next(ctx, counter)
		if err == nil {
			r.checks.received(counter, floor, value)
		}
		return err
	})
}

// changeKey reads a key and writes a new value, conditional on the revision read.
func (r *run) changeKey(ctx context.Context, random *rand.Rand, value string) int {
	key := fmt.Sprintf("%s%d", r.group(), random.IntN(r.options.Keys))
	var revision uint64
	err := r.results.measure("get", func() (err error) {
		_, revision, err = r.client.Get(ctx, key)
		if errors.Is(err, coordinationclient.ErrKeyNotFound) {
			return nil
		}
		return err
	})
	if err != nil {
		return 1
	}
	_ = r.results.measure("put", func() error {
		next, err := r.client.Put(ctx, key, value, revision)
		if err == nil {
			r.checks.put(value, next)
		}
		return err
	})
	return 2
}
