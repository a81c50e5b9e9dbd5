package coordination

import (
	"encoding/json"
	"time"
)

const (
	// minBlock and maxBlock bound how many numbers are reserved by one write. Those of a block that its owner did not give out
	// are never given.
	minBlock = 16
	maxBlock = 4096
)

// counterRecord is what is stored of a counter.
type counterRecord struct {
	// Reserved is the highest number that may have been given out.
	Reserved uint64 `json:"reserved"`
}

// Counter gives out rising numbers, from blocks that are reserved on disk. A new owner goes on above the last block: it does not know
// how much of it was used.
type Counter struct {
	record counterRecord
	// last is the number given out last, or one below the first.
	last  uint64
	block uint64
}

func openCounter(value json.RawMessage) (*Counter, error) {
	counter := &Counter{block: minBlock}
	if err := decodeValue(value, &counter.record); err != nil {
		return nil, err
	}
	counter.last = counter.record.Reserved
	return counter, nil
}

// Apply implements Item.
func (c *Counter) Apply(call Call, _ time.Time) (Result, bool) {
	if call.Operation != OperationNext {
		return Result{Outcome: OutcomeDone, Number: c.last}, false
	}
	changed := false
	if c.last == c.record.Reserved {
		c.record.Reserved += c.block
		c.block = min(2*c.block, maxBlock)
		changed = true
	}
	c.last++
	return Result{Outcome: OutcomeDone, Number: c.last}, changed
}

// Value implements Item.
func (c *Counter) Value() json.RawMessage { return encodeValue(c.record) }

// VolatileState implements Item. The rest of a block is not used under another ownership.
func (*Counter) VolatileState() VolatileState { return VolatileState{} }
