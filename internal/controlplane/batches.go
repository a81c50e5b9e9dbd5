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
	collected map[string]peer.ModelLoad
	// last is the number of the newest batch.
	last uint64
	// sent are the batches on their way, by number; unheard those to be sent again, the oldest first.
	sent    map[uint64]arrivalBatch
	unheard []arrivalBatch
}

// newArrivalOutbox is an empty outbox.
func newArrivalOutbox() *arrivalOutbox {
	return &arrivalOutbox{collected: map[string]peer.ModelLoad{}, sent: map[uint64]arrivalBatch{}}
}

// collect adds the arrivals of a model.
func (o *arrivalOutbox) collect(name string, model peer.ModelLoad) {
	counted := o.collected[name]
	counted.Arrivals += model.Arrivals
	counted.ReadMs += model.ReadMs
	o.collected[name] = counted
}

// again is the oldest batch that was not heard, to be sent once more, or one of number 0.
func (o *arrivalOutbox) again() arrivalBatch {
	if len(o.unheard) == 0 {
		return arrivalBatch{}
	}
	batch := o.unheard[0]
	o.unheard = o.unheard[1:]
	o.sent[batch.number] = batch
	return batch
}

// next is a new batch of what was collected of the wanted models, of number 0 if that is nothing.
func (o *arrivalOutbox) next(wanted func(name string) bool) arrivalBatch {
	models := map[string]peer.ModelLoad{}
	for name, counted := range o.collected {
		if wanted(name) {
			models[name] = counted
			delete(o.collected, name)
		}
	}
	if len(models) == 0 {
		return arrivalBatch{}
	}
	o.last++
	batch := arrivalBatch{o.last, models}
	o.sent[batch.number] = batch
	return batch
}

// settle notes that a batch was heard, or that it is open whether it was.
func (o *arrivalOutbox) settle(number uint64, heard bool) {
	batch, known := o.sent[number]
	if !known {
		return
	}
	delete(o.sent, number)
	if !heard {
		o.unheard = append(o.unheard, batch)
	}
}

// batchesKept is how many numbers back a batch may come late and still be told from one heard before.
const batchesKept = 64

// heardBatches are the batches heard of one life of a sender.
type heardBatches struct {
	life    string
	highest uint64
	numbers map[uint64]bool
}

// isNew notes a batch and tells whether it was not heard before. A batch that is too old to tell does
// not count as new.
func (h *heardBatches) isNew(number uint64) bool {
	if h.numbers[number] || number+batchesKept <= h.highest {
		return false
	}
	h.numbers[number] = true
	if number > h.highest {
		h.highest = number
		for one := range h.numbers {
			if one+batchesKept <= h.highest {
				delete(h.numbers, one)
			}
		}
	}
	return true
}
