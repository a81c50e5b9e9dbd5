package usage

import "sync"

// Delivery tracks which changes of a ledger a receiver has acknowledged. If the receiver restarts or is replaced, everything is
// sent again. It is safe for concurrent use.
type Delivery struct {
	// lock guards the fields below.
	lock sync.Mutex
	// receiver is the incarnation of the receiver that holds the ledger's changes up to the version acknowledged.
	receiver     string
	acknowledged uint64
}

// Batch holds the changes to be sent in one message.
type Batch struct {
	Entries []Entry
	// The entries have changed after version from of the ledger, up to version upTo.
	from, upTo uint64
}

// Next returns the changes that the receiver has not acknowledged.
func (d *Delivery) Next(ledger *Ledger) Batch {
	d.lock.Lock()
	defer d.lock.Unlock()
	entries, upTo := ledger.ChangedSince(d.acknowledged)
	return Batch{Entries: entries, from: d.acknowledged, upTo: upTo}
}

// Acknowledge records that an incarnation of the receiver has merged the batch. If it is a new one that lacks earlier batches,
// everything is sent again.
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
