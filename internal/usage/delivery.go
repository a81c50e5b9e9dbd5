package usage

import "sync"

// Delivery brings the changes of a ledger to a receiver, which may be replaced by another one or restart: what the one before held
// is sent again then. It is safe for concurrent use.
type Delivery struct {
	lock sync.Mutex
	// receiver is the incarnation that holds the ledger up to version acknowledged.
	receiver     string
	acknowledged uint64
}

// Batch is what is sent at a time.
type Batch struct {
	Entries []Entry
	// from and upTo are the versions of the ledger between which the entries have changed.
	from, upTo uint64
}

// Next is what the receiver is not known to hold.
func (d *Delivery) Next(ledger *Ledger) Batch {
	d.lock.Lock()
	defer d.lock.Unlock()
	entries, upTo := ledger.ChangedSince(d.acknowledged)
	return Batch{Entries: entries, from: d.acknowledged, upTo: upTo}
}

// Acknowledge records that a batch was taken in by a receiver. One that has not received what came before it gets everything anew.
func (d *Delivery) Acknowledge(receiver string, batch Batch) {
	d.lock.Lock()
	defer d.lock.Unlock()
	switch {
	case receiver == d.receiver:
		d.acknowledged = max(d.acknowledged, batch.upTo)
	case batch.from == 0:
		d.receiver, d.acknowledged = receiver, batch.upTo
	default:
		d.receiver, d.acknowledged = receiver, 0
	}
}
