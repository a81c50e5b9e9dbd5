package controlplane

import "ferryspar/internal/peer"

// arrivalBatch is arrivals and reading times by model that go to the placement holder together. Its
// number stays the same however often it is sent.
type arrivalBatch struct {
	number uint64
	models map[string]peer.ModelLoad
}

// arrivalOutbox holds what has arrived by model until the placement holder is known to have heard it.
// It is not safe for concurrent use; the lock of the sums guards it.
type arrivalOutbox struct {
	// collected is in no batch yet.
	pending map[string]peer.ModelLoad
	// last is the number of the newest batch.
	lastNumber uint64
	// sent are the batches on their way, by number; unheard those to be sent again, the oldest first.
	inFlight  map[uint64]arrivalBatch
	uncertain []arrivalBatch
}

// newArrivalOutbox is an empty outbox.
func newArrivalOutbox() *arrivalOutbox {
	return &arrivalOutbox{pending: map[string]peer.ModelLoad{}, inFlight: map[uint64]arrivalBatch{}}
}

// collect adds the arrivals of a model.
func (o *arrivalOutbox) add(key string, model peer.ModelLoad) {
	total := o.pending[key]
	total.Arrivals += model.Arrivals
	total.PrefillMs += model.PrefillMs
	o.pending[key] = total
}

// again is the oldest batch that was not heard, to be sent once more, or one of number 0.
func (o *arrivalOutbox) nextResend() arrivalBatch {
	if len(o.uncertain) == 0 {
		return arrivalBatch{}
	}
	batch := o.uncertain[0]
	o.uncertain = o.uncertain[1:]
	o.inFlight[batch.number] = batch
	return batch
}

// next is a new batch of what was collected of the wanted models, of number 0 if that is nothing.
func (o *arrivalOutbox) nextBatch(included func(key string) bool) arrivalBatch {
	models := map[string]peer.ModelLoad{}
	for key, load := range o.pending {
		if included(key) {
			models[key] = load
			delete(o.pending, key)
		}
	}
	if len(models) == 0 {
		return arrivalBatch{}
	}
	o.lastNumber++
	batch := arrivalBatch{o.lastNumber, models}
	o.inFlight[batch.number] = batch
	return batch
}

// settle notes that a batch was heard, or that it is open whether it was.
func (o *arrivalOutbox) resolve(number uint64, delivered bool) {
	batch, known := o.inFlight[number]
	if !known {
		return
	}
	delete(o.inFlight, number)
	if !delivered {
		o.uncertain = append(o.uncertain, batch)
	}
}

// batchWindow is how many numbers back a batch may come late and still be told from one heard before.
const batchWindow = 64

// receivedBatches are the batches heard of one life of a sender.
type receivedBatches struct {
	incarnation string
	highest     uint64
	numbers     map[uint64]bool
}

// isNewBatch notes a batch and tells whether it was not heard before. A batch that is too old to tell does
// not count as new.
func (b *receivedBatches) markReceived(number uint64) bool {
	if b.numbers[number] || number+batchWindow <= b.highest {
		return false
	}
	b.numbers[number] = true
	if number > b.highest {
		b.highest = number
		for old := range b.numbers {
			if old+batchWindow <= b.highest {
				delete(b.numbers, old)
			}
		}
	}
	return true
}
