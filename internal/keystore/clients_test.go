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
	errAlreadyApplied = errors.New("already applied")
	errStale          = errors.New("another version is current")
	errNoProcess      = errors.New("no process at this member")
)

const (
	clientTimeout   = 1500 * time.Millisecond
	operatorTimeout = time.Second
	followTimeout   = 2 * time.Second
	// operatorGrace is how long after the end of a schedule an operator still retries its last call.
	operatorGrace = 30 * time.Second
)

func pick(names []string, random *rand.Rand) string { return names[random.IntN(len(names))] }

// runClient reads and changes the configuration at members chosen at random, and retries nothing.
func runClient(cluster *keystoresim.Cluster, number int, random *rand.Rand, until time.Time, recorded *history) {
	for turn := 0; time.Now().Before(until); turn++ {
		time.Sleep(time.Duration(random.IntN(400)+1) * time.Millisecond)
		store := cluster.StoreOf(pick(cluster.MemberNames(), random))
		if store == nil {
			continue
		}
		done := call{
			label:   fmt.Sprintf("%d-%d", number, turn),
			started: time.Now(),
			read:    random.IntN(3) == 0,
		}
		register, err := readOrChange(store, done)
		done.ended, done.acknowledged, done.version = time.Now(), err == nil, decodeDocument(register).Version
		recorded.add(done)
	}
}

func readOrChange(store *keystore.Store, wanted call) (keystore.Register, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	if wanted.read {
		return store.Read(ctx, keystore.ConfigurationKey)
	}
	return store.Change(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
		return json.Marshal(decodeDocument(current).with(wanted.label))
	})
}

// report records what the operators of one key observed.
type report struct {
	lock      sync.Mutex
	history   history
	rejected  map[string]bool
	latencies []time.Duration
	// proposals holds the proposal number under which each version was written.
	proposals map[int]keystore.ProposalNumber
}

func newReport() *report {
	return &report{rejected: map[string]bool{}, proposals: map[int]keystore.ProposalNumber{}}
}

func (r *report) record(done call, register keystore.Register) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rejected[done.label] = done.read
	r.latencies = append(r.latencies, done.ended.Sub(done.started))
	r.history.add(done)
	if !done.read {
		r.proposals[done.version] = register.Accepted
	}
}

// ownerChanges counts the changes of the key's owner.
func (r *report) ownerChanges() int {
	changes := 0
	var last keystore.ProposalNumber
	for version := 1; version <= len(r.proposals)+1000; version++ {
		if proposal, known := r.proposals[version]; known && proposal != last {
			changes++
			last = proposal
		}
	}
	return changes
}

func (r *report) check(final document) error {
	for _, label := range final.Labels {
		if r.rejected[label] {
			return fmt.Errorf("%s was rejected and took effect later", label)
		}
	}
	return r.history.check(final)
}

func (r *report) String() string { return fmt.Sprint(r.history.calls) }

// replaceDocument changes a key if it is at the given version. Each label takes effect once.
func replaceDocument(store *keystore.Store, key, label string, version int) (keystore.Register, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return store.Change(ctx, key, func(current keystore.Register) (json.RawMessage, error) {
		value := decodeDocument(current)
		if slices.Contains(value.Labels, label) {
			return nil, errAlreadyApplied
		}
		if value.Version != version {
			return nil, errStale
		}
		return json.Marshal(value.with(label))
	})
}

// operator changes one key, based on the version that it knows, and retries each call at one member after the other
// until it is answered.
type operator struct {
	cluster *keystoresim.Cluster
	key     string
	number  int
	random  *rand.Rand
	until   time.Time
	report  *report
	// version is the newest that the operator knows, and first the position of the member that it calls first.
	version, first int
}

func (o *operator) run() {
	o.first = o.random.IntN(5)
	for turn := 0; time.Now().Before(o.until); turn++ {
		thinkTime := time.Duration(o.random.Int64N(int64(30 * time.Millisecond)))
		if turn%30 >= 20 {
			thinkTime = time.Duration(o.random.Int64N(int64(700 * time.Millisecond)))
			o.first = o.random.IntN(5)
		}
		time.Sleep(thinkTime)
		if !o.callUntilAnswered(turn) {
			return
		}
	}
}

// callUntilAnswered reports whether the call was answered in time.
func (o *operator) callUntilAnswered(turn int) bool {
	done := call{label: fmt.Sprintf("%s-%d-%d", o.key, o.number, turn), started: time.Now()}
	backoff := 100 * time.Millisecond
	for attempt := 0; ; attempt++ {
		register, err := o.attempt(attempt, done.label)
		if err == nil || errors.Is(err, errAlreadyApplied) || errors.Is(err, errStale) {
			o.recordAnswer(done, register, err)
			return true
		}
		if time.Now().After(o.until.Add(operatorGrace)) {
			return false
		}
		time.Sleep(backoff + time.Duration(o.random.Int64N(int64(time.Millisecond))))
		backoff = min(2*backoff, 2*time.Second)
	}
}

func (o *operator) attempt(attempt int, label string) (keystore.Register, error) {
	names := o.cluster.MemberNames()
	store := o.cluster.StoreOf(names[(o.first+attempt)%len(names)])
	if store == nil {
		return keystore.Register{}, errNoProcess
	}
	return replaceDocument(store, o.key, label, o.version)
}

func (o *operator) recordAnswer(done call, register keystore.Register, err error) {
	value := decodeDocument(register)
	done.ended, done.acknowledged, done.read = time.Now(), true, errors.Is(err, errStale)
	done.version, o.version = value.Version, value.Version
	if errors.Is(err, errAlreadyApplied) {
		done.version = 1 + slices.Index(value.Labels, done.label)
	}
	o.report.record(done, register)
}

// followKey reads a key by digests at one member, and fails if its version decreases.
func followKey(cluster *keystoresim.Cluster, name, key string, interval time.Duration, until time.Time) error {
	var followed *keystore.Store
	var shown keystore.Register
	for time.Now().Before(until) {
		time.Sleep(interval)
		store := cluster.StoreOf(name)
		if store == nil {
			continue
		}
		if store != followed {
			followed, shown = store, keystore.Register{}
		}
		newer, found := fetchNewer(store, key, shown)
		if !found {
			continue
		}
		before, after := decodeDocument(shown).Version, decodeDocument(newer).Version
		if after < before {
			return fmt.Errorf("%s went back from version %d to %d", name, before, after)
		}
		shown = newer
	}
	return nil
}

// fetchNewer returns a committed proposal that is newer than the one shown, if there is one.
func fetchNewer(store *keystore.Store, key string, shown keystore.Register) (keystore.Register, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	digest, err := store.Digest(ctx)
	if err != nil {
		return keystore.Register{}, false
	}
	committed, known := digest.Committed[key]
	if !known || !committed.NewerThan(shown) {
		return keystore.Register{}, false
	}
	fetched, err := store.Fetch(ctx, committed)
	return fetched, err == nil
}
