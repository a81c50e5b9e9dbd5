package keystore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

var (
	errAlreadyApplied = errors.New("already taken")
	errStale          = errors.New("another version is current")
)

const callTimeout = time.Second

type clientReport struct {
	lock      sync.Mutex
	history   history
	rejected  map[string]bool
	latencies []time.Duration
	proposals map[int]keystore.ProposalNumber
}

func newClientReport() *clientReport {
	return &clientReport{rejected: map[string]bool{}, proposals: map[int]keystore.ProposalNumber{}}
}

func (r *clientReport) record(call operation, register keystore.Register, rejected bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rejected[call.label] = rejected
	r.latencies = append(r.latencies, call.ended.Sub(call.started))
	r.history.add(call)
	if !call.read {
		r.proposals[call.version] = register.Accepted
	}
}

func (r *clientReport) ownerChanges() int {
	moved := 0
	var last keystore.ProposalNumber
	for version := 1; version <= len(r.proposals)+1000; version++ {
		if proposal, known := r.proposals[version]; known && proposal != last {
			moved++
			last = proposal
		}
	}
	return moved
}

func (r *clientReport) check(final document) error {
	for _, label := range final.Labels {
		if r.rejected[label] {
			return fmt.Errorf("%s was refused and took force later", label)
		}
	}
	return r.history.check(final)
}

func (r *clientReport) print() string {
	return fmt.Sprint(r.history.done)
}

func replace(store *keystore.Store, key, label string, on int) (keystore.Register, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return store.Change(ctx, key, func(current keystore.Register) (json.RawMessage, error) {
		value := decodeDocument(current)
		if slices.Contains(value.Labels, label) {
			return nil, errAlreadyApplied
		}
		if value.Version != on {
			return nil, errStale
		}
		value.Version++
		value.Labels = append(append([]string{}, value.Labels...), label)
		return json.Marshal(value)
	})
}

func runOperator(cluster *keystoresim.Cluster, key string, number int, random *rand.Rand, until time.Time, told *clientReport) {
	version, first := 0, random.IntN(5)
	for turn := 0; time.Now().Before(until); turn++ {
		thinkTime := time.Duration(random.Int64N(int64(30 * time.Millisecond)))
		if turn%30 >= 20 {
			thinkTime = time.Duration(random.Int64N(int64(700 * time.Millisecond)))
			first = random.IntN(5)
		}
		time.Sleep(thinkTime)
		call := operation{label: fmt.Sprintf("%s-%d-%d", key, number, turn), started: time.Now()}
		backoff := 100 * time.Millisecond
		for attempt := 0; ; attempt++ {
			present := cluster.MemberNames()
			register, err := keystore.Register{}, errors.New("no daemon there")
			if store := cluster.StoreOf(present[(first+attempt)%len(present)]); store != nil {
				register, err = replace(store, key, call.label, version)
			}
			if err == nil || errors.Is(err, errAlreadyApplied) || errors.Is(err, errStale) {
				value := decodeDocument(register)
				call.ended, call.acknowledged, call.read = time.Now(), true, errors.Is(err, errStale)
				call.version, version = value.Version, value.Version
				if errors.Is(err, errAlreadyApplied) {
					call.version = 1 + slices.Index(value.Labels, call.label)
				}
				told.record(call, register, call.read)
				break
			}
			if time.Now().After(until.Add(30 * time.Second)) {
				return
			}
			time.Sleep(backoff + time.Duration(random.Int64N(int64(time.Millisecond))))
			backoff = min(2*backoff, 2*time.Second)
		}
	}
}

func followKey(cluster *keystoresim.Cluster, name, key string, every time.Duration, until time.Time) error {
	var currentStore *keystore.Store
	var shown keystore.Register
	for time.Now().Before(until) {
		time.Sleep(every)
		store := cluster.StoreOf(name)
		if store == nil {
			continue
		}
		if store != currentStore {
			currentStore, shown = store, keystore.Register{}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		digest, err := store.Digest(ctx)
		if found, known := digest.Committed[key]; err == nil && known && found.NewerThan(shown) {
			if fetched, err := store.Fetch(ctx, found); err == nil {
				if decodeDocument(fetched).Version < decodeDocument(shown).Version {
					cancel()
					return fmt.Errorf("%s went back from version %d to %d", name, decodeDocument(shown).Version, decodeDocument(fetched).Version)
				}
				shown = fetched
			}
		}
		cancel()
	}
	return nil
}
