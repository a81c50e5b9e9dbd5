// Package bodybudget limits the memory that a server holds for the bodies of all its requests together.
//
// Start reading at Budget.Read.
package bodybudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrExhausted is returned for a body that was rejected because all bodies together exceed the budget.
var ErrExhausted = errors.New("bodies exceed the memory for them")

// Budget limits the bytes that a server holds of request bodies, those that are still arriving and those that are kept until their
// requests end. It is safe for concurrent use.
//
// If the budget is exhausted, the slowest senders are rejected first, among those that hold at least half of the average. A request
// that was read completely keeps its body.
type Budget struct {
	limit int64

	// lock guards the fields below and those of the readers.
	lock         sync.Mutex
	readers      map[*reading]bool
	readingBytes int64
	heldBytes    int64
}

// New returns a budget of that many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, readers: map[*reading]bool{}}
}

// Usage is how many bytes of a budget are in use.
type Usage struct {
	// Reading counts the bytes of bodies that are arriving, Held those of complete bodies.
	Reading, Held int64
}

// Usage returns how many bytes are in use.
func (b *Budget) Usage() Usage {
	b.lock.Lock()
	defer b.lock.Unlock()
	return Usage{Reading: b.readingBytes, Held: b.heldBytes}
}

// reading is a body that is being read.
type reading struct {
	budget    *Budget
	startedAt time.Time
	// interrupt makes the read in progress fail. It must not block.
	interrupt func()
	bytes     int64
	rejected  bool
}

// open registers a body that is about to be read. interrupt ends its read if it has to be rejected.
func (b *Budget) open(now time.Time, interrupt func()) *reading {
	reader := &reading{budget: b, startedAt: now, interrupt: interrupt}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.readers[reader] = true
	return reader
}

// reserve takes bytes for the body, from slower senders if there are none left. It returns an error if this is the slowest one.
func (r *reading) reserve(count int64, now time.Time) error {
	budget := r.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if r.rejected {
		return ErrExhausted
	}
	r.bytes += count
	budget.readingBytes += count
	for budget.readingBytes+budget.heldBytes > budget.limit {
		slowest := budget.slowest(now)
		budget.remove(slowest)
		slowest.rejected = true
		if slowest == r {
			return ErrExhausted
		}
		slowest.interrupt()
	}
	return nil
}

// slowest returns the reader that has received the fewest bytes a second, of those that hold at least half of the average. The
// caller holds the lock, and at least one reader is open.
func (b *Budget) slowest(now time.Time) *reading {
	var found *reading
	var slowestRate float64
	for reader := range b.readers {
		if 2*reader.bytes*int64(len(b.readers)) < b.readingBytes {
			continue
		}
		rate := float64(reader.bytes) / max(now.Sub(reader.startedAt).Seconds(), time.Millisecond.Seconds())
		if found == nil || rate < slowestRate {
			found, slowestRate = reader, rate
		}
	}
	return found
}

// remove takes back what the reader holds. The caller holds the lock.
func (b *Budget) remove(reader *reading) {
	b.readingBytes -= reader.bytes
	reader.bytes = 0
	delete(b.readers, reader)
}

// close ends the reading. The bytes of a complete body stay reserved until release is called, those of any other are given back. It
// returns an error if the body was rejected meanwhile.
func (r *reading) close(complete bool) (release func(), err error) {
	budget := r.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if r.rejected {
		return nil, ErrExhausted
	}
	held := r.bytes
	budget.remove(r)
	if !complete {
		return nil, nil
	}
	budget.heldBytes += held
	return sync.OnceFunc(func() {
		budget.lock.Lock()
		defer budget.lock.Unlock()
		budget.heldBytes -= held
	}), nil
}
