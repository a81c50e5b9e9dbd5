package coordination

import (
	"encoding/json"
	"time"
)

const (
	// minBlockSize and maxBlockSize bound how many numbers one write reserves. Numbers of a block that its owner did not issue
	// are never issued.
	minBlockSize = 16
	maxBlockSize = 4096
)

// counterRecord is the stored state of a counter.
type counterRecord struct {
	// Reserved is the highest number that may have been issued.
	Reserved uint64 `json:"reserved"`
}

// Counter issues increasing numbers from blocks that are reserved on disk. A new owner continues above the last reserved block,
// because it does not know how many of its numbers were issued.
type Counter struct {
	record counterRecord
	// lastIssued is the number issued last, or one less than the first number to issue.
	lastIssued uint64
	blockSize  uint64
}

func openCounter(value json.RawMessage) (*Counter, error) {
	counter := &Counter{blockSize: minBlockSize}
	if err := decodeValue(value, &counter.record); err != nil {
		return nil, err
	}
	counter.lastIssued = counter.record.Reserved
	return counter, nil
}

// Apply implements Item.
func (c *Counter) Apply(call Call, _ time.Time) (Result, bool) {
	if call.Operation != OperationNext {
		return Result{Outcome: OutcomeDone, Number: c.lastIssued}, false
	}
	changed := false
	if c.lastIssued == c.record.Reserved {
		c.record.Reserved += c.blockSize
		c.blockSize = min(2*c.blockSize, maxBlockSize)
		changed = true
	}
	c.lastIssued++
	return Result{Outcome: OutcomeDone, Number: c.lastIssued}, changed
}

// Value implements Item.
func (c *Counter) Value() json.RawMessage { return encodeValue(c.record) }

// VolatileState implements Item. It is empty: the rest of a block is abandoned when ownership changes.
func (*Counter) VolatileState() VolatileState { return VolatileState{} }
