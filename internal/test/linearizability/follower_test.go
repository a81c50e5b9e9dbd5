package linearizability_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// confirmationTTL is how long a confirmation is valid, as in internal/controlplane.
const confirmationTTL = 1100 * time.Millisecond

// The intervals and the timeout of a follower.
const (
	refreshInterval            = 350 * time.Millisecond
	unconfirmedRefreshInterval = 120 * time.Millisecond
	pollInterval               = 50 * time.Millisecond
	refreshTimeout             = 2 * time.Second
)

// follower serves the control state as a node does for its data planes: it makes digests periodically, and its state counts
// as confirmed by the rule of internal/controlplane.
type follower struct {
	simulation  *simulation
	name        string
	store       *keystore.Store
	lock        sync.Mutex
	registers   map[string]keystore.Register
	versions    map[string]uint64
	confirmedAt time.Time
	// requestedAt is the time, since the start of the simulation, when the digest behind confirmedAt was requested.
	requestedAt time.Duration
	undecided   map[string]keystore.Register
	refreshes   int
}

func newFollower(s *simulation, name string) *follower {
	return &follower{
		simulation: s,
		name:       name,
		registers:  map[string]keystore.Register{},
		versions:   map[string]uint64{},
	}
}

func (f *follower) run() {
	for !f.simulation.isStopped() {
		f.simulation.waitWhileFrozen(f.name)
		interval := unconfirmedRefreshInterval
		if f.refresh() {
			interval = refreshInterval
		}
		time.Sleep(interval + time.Duration(len(f.name)*101))
	}
}

// resetForProcess clears the state if the process has been restarted.
func (f *follower) resetForProcess(store *keystore.Store) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.store != store {
		f.store, f.confirmedAt = store, time.Time{}
		f.registers, f.versions, f.undecided = map[string]keystore.Register{}, map[string]uint64{}, nil
	}
}

// refresh makes a digest and reports whether all of it was learned.
func (f *follower) refresh() bool {
	store, acceptor := f.simulation.cluster.StoreOf(f.name), f.simulation.cluster.AcceptorOf(f.name)
	if store == nil {
		return false
	}
	f.resetForProcess(store)
	startedAt, requestedAt := f.simulation.cluster.Clock(f.name)(), f.simulation.now()
	ctx, cancel := withTimeout(refreshTimeout)
	defer cancel()
	digest, err := store.Digest(ctx)
	f.simulation.waitWhileFrozen(f.name)
	if err != nil {
		f.dropConfirmation()
		return false
	}
	learned := true
	for _, key := range slices.Sorted(maps.Keys(digest.Committed)) {
		learned = f.learn(ctx, digest.Committed[key]) && learned
	}
	store.Refresh(ctx, acceptor, digest.Committed)
	f.simulation.waitWhileFrozen(f.name)
	undecided := withoutLeases(digest.Undecided)
	if len(undecided) > 0 && !f.simulation.variant.ignoresUndecided {
		f.resolveUndecided(undecided)
		f.dropConfirmation()
		return false
	}
	if learned && f.simulation.cluster.StoreOf(f.name) == store {
		f.lock.Lock()
		f.confirmedAt, f.requestedAt = startedAt, requestedAt
		f.lock.Unlock()
	}
	return learned
}

// withoutLeases omits leases, which data planes do not learn from digests.
func withoutLeases(undecided map[string]keystore.Register) map[string]keystore.Register {
	rest := maps.Clone(undecided)
	maps.DeleteFunc(rest, func(key string, _ keystore.Register) bool { return strings.HasPrefix(key, keystore.LeasePrefix) })
	return rest
}

// dropConfirmation ends the confirmation in the variant without a deadline. Otherwise a confirmation expires by itself.
func (f *follower) dropConfirmation() {
	if f.simulation.variant.staysFreshUntilFailure {
		f.lock.Lock()
		f.confirmedAt = time.Time{}
		f.lock.Unlock()
	}
}

func (f *follower) learn(ctx context.Context, register keystore.Register) bool {
	f.lock.Lock()
	shown, known := f.registers[register.Key]
	f.lock.Unlock()
	if known && !register.NewerThan(shown) {
		return true
	}
	fetched, err := f.store.Fetch(ctx, register)
	if err == nil {
		f.apply(fetched)
	}
	return err == nil
}

func (f *follower) apply(register keystore.Register) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if shown, known := f.registers[register.Key]; known && !register.NewerThan(shown) {
		return
	}
	f.registers[register.Key] = register
	if register.Key == keystore.ConfigurationKey {
		record, _ := controlstate.DecodeConfiguration(register)
		f.versions[register.Key] = uint64(record.Revision)
	}
	if strings.HasPrefix(register.Key, keystore.ZonePrefix) {
		record, _ := controlstate.DecodeZone(register)
		f.versions[register.Key] = record.Version
	}
}

// resolveUndecided reads keys whose proposal was found on a minority by two consecutive digests, at every second refresh.
func (f *follower) resolveUndecided(undecided map[string]keystore.Register) {
	before := f.undecided
	f.undecided = undecided
	f.refreshes++
	for _, key := range slices.Sorted(maps.Keys(undecided)) {
		if before[key].Key == "" || !before[key].SameProposal(undecided[key]) || f.refreshes%2 == 0 {
			continue
		}
		ctx, cancel := withTimeout(600 * time.Millisecond)
		fetched, err := f.store.Read(ctx, key)
		cancel()
		if err == nil {
			f.apply(fetched)
		}
	}
}

// isConfirmed reports whether the state counts as confirmed now.
func (f *follower) isConfirmed() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.confirmedAt.IsZero() || f.simulation.cluster.StoreOf(f.name) != f.store {
		return false
	}
	age := f.simulation.cluster.Clock(f.name)().Sub(f.confirmedAt)
	return f.simulation.variant.staysFreshUntilFailure || age < confirmationTTL
}

// pollConfirmed polls as data planes do while the machine is not frozen, and checks that confirmed state includes all that was
// acknowledged before the digest was requested or more than confirmationTTL ago.
func (f *follower) pollConfirmed() {
	for !f.simulation.isStopped() {
		time.Sleep(pollInterval + time.Duration(len(f.name)*17))
		f.simulation.waitWhileFrozen(f.name)
		if !f.isConfirmed() {
			continue
		}
		f.simulation.recordPoll()
		if err := f.checkAcknowledged(); err != nil {
			f.simulation.fail(err)
		}
	}
}

func (s *simulation) recordPoll() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.polls++
}

// checkAcknowledged returns an error if the state lacks a version that was acknowledged in time.
func (f *follower) checkAcknowledged() error {
	f.lock.Lock()
	defer f.lock.Unlock()
	until := max(f.requestedAt, f.simulation.now()-confirmationTTL)
	for _, key := range []string{
		keystore.ConfigurationKey,
		keystore.ZonePrefix + zoneNames[0],
		keystore.ZonePrefix + zoneNames[1],
	} {
		acknowledged := f.simulation.acknowledgements.highestBefore(key, until)
		if f.versions[key] >= acknowledged {
			continue
		}
		now := f.simulation.now().Round(time.Millisecond)
		return fmt.Errorf("%s at %s shows %s %d as confirmed, %d was acknowledged before %s",
			f.name, now, key, f.versions[key], acknowledged, until.Round(time.Millisecond))
	}
	return nil
}
