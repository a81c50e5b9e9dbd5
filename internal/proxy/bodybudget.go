package proxy

import (
	"sync"
	"time"

	"ferryspar/internal/apierror"
)

// BodyBudget limits the bytes that a data plane holds of request bodies, those that are still arriving and those that are kept
// until their requests end. It is safe for concurrent use.
//
// If the budget is exhausted, the slowest senders are rejected first, among those that hold at least half of the average. A request
// that was read completely keeps its body.
type BodyBudget struct {
	limit int64

	// lock guards the fields below and those of the readers.
	lock         sync.Mutex
	readers      map[*bodyReader]bool
	readingBytes int64
	heldBytes    int64
}

// NewBodyBudget returns a budget of that many bytes.
func NewBodyBudget(limit int64) *BodyBudget {
	return &BodyBudget{limit: limit, readers: map[*bodyReader]bool{}}
}

// BodyUsage is how many bytes of a budget are in use.
type BodyUsage struct {
	// Reading counts the bytes of bodies that are arriving, Held those of complete bodies.
	Reading, Held int64
}

// Usage returns how many bytes are in use.
func (b *BodyBudget) Usage() BodyUsage {
	b.lock.Lock()
	defer b.lock.Unlock()
	return BodyUsage{Reading: b.readingBytes, Held: b.heldBytes}
}

// bodyReader is a body that is being read.
type bodyReader struct {
	budget    *BodyBudget
	startedAt time.Time
	// interrupt makes the read in progress fail. It must not block.
	interrupt func()
	bytes     int64
	rejected  bool
}

// open registers a body that is about to be read. interrupt ends its read if it has to be rejected.
func (b *BodyBudget) open(now time.Time, interrupt func()) *bodyReader {
	reader := &bodyReader{budget: b, startedAt: now, interrupt: interrupt}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.readers[reader] = true
	return reader
}

// reserve takes bytes for the body, from slower senders if there are none left. It returns an error if this is the slowest one.
func (r *bodyReader) reserve(count int64, now time.Time) error {
	budget := r.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if r.rejected {
		return errBodyMemory()
	}
	r.bytes += count
	budget.readingBytes += count
	for budget.readingBytes+budget.heldBytes > budget.limit {
		slowest := budget.slowest(now)
		budget.remove(slowest)
		slowest.rejected = true
		if slowest == r {
			return errBodyMemory()
		}
		slowest.interrupt()
	}
	return nil
}

// slowest returns the reader that has received the fewest bytes a second, of those that hold at least half of the average. The
// caller holds the lock, and at least one reader is open.
func (b *BodyBudget) slowest(now time.Time) *bodyReader {
	var found *bodyReader
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
func (b *BodyBudget) remove(reader *bodyReader) {
	b.readingBytes -= reader.bytes
	reader.bytes = 0
	delete(b.readers, reader)
}

// close ends the reading. The bytes of a complete body stay reserved until release is called, those of any other are given back. It
// returns an error if the body was rejected meanwhile.
func (r *bodyReader) close(complete bool) (release func(), err error) {
	budget := r.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if r.rejected {
		return nil, errBodyMemory()
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

// errBodyMemory is the error of a body that was rejected for want of memory.
func errBodyMemory() error {
	return apierror.NewRetryable(apierror.BodyMemoryExceeded, bodyMemoryRetryAfter)
}
