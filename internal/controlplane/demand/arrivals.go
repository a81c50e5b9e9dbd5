package demand

import "ferryspar/internal/peer"

// arrivalBatch holds arrivals and prefill times by model key that are sent together. It keeps its number when it is
// resent; number 0 means that there is no batch.
type arrivalBatch struct {
	number uint64
	models map[string]peer.ModelLoad
}

// arrivalOutbox keeps arrivals until the placement lease's holder has acknowledged them. The aggregator's lock guards it.
type arrivalOutbox struct {
	// pending holds the arrivals that aren't in a batch yet, by model key.
	pending map[string]peer.ModelLoad
	// lastNumber is the number of the newest batch.
	lastNumber uint64
	// inFlight holds the batches being sent, by number; uncertain holds those to be resent, oldest first.
	inFlight  map[uint64]arrivalBatch
	uncertain []arrivalBatch
}

// newArrivalOutbox returns an empty outbox.
func newArrivalOutbox() *arrivalOutbox {
	return &arrivalOutbox{
		pending:  map[string]peer.ModelLoad{},
		inFlight: map[uint64]arrivalBatch{},
	}
}

// add adds the arrivals and the prefill time of a model.
func (o *arrivalOutbox) add(key string, model peer.ModelLoad) {
	total := o.pending[key]
	total.Arrivals += model.Arrivals
	total.PrefillMs += model.PrefillMs
	o.pending[key] = total
}

// nextResend returns the oldest batch that may not have been received, if there is one, and marks it as in flight again.
func (o *arrivalOutbox) nextResend() (batch arrivalBatch, found bool) {
	if len(o.uncertain) == 0 {
		return arrivalBatch{}, false
	}
	batch = o.uncertain[0]
	o.uncertain = o.uncertain[1:]
	o.inFlight[batch.number] = batch
	return batch, true
}

// nextBatch moves the pending arrivals of the included models into a new batch. Its number is 0 if there are none.
func (o *arrivalOutbox) nextBatch(included func(key string) bool) arrivalBatch {
	models := map[string]peer.ModelLoad{}
	for key, total := range o.pending {
		if included(key) {
			models[key] = total
			delete(o.pending, key)
		}
	}
	if len(models) == 0 {
		return arrivalBatch{}
	}
	o.lastNumber++
	batch := arrivalBatch{number: o.lastNumber, models: models}
	o.inFlight[batch.number] = batch
	return batch
}

// markDelivered drops a batch in flight that was acknowledged.
func (o *arrivalOutbox) markDelivered(number uint64) { delete(o.inFlight, number) }

// markUncertain schedules a batch in flight to be resent, as it may not have been received.
func (o *arrivalOutbox) markUncertain(number uint64) {
	if batch, known := o.inFlight[number]; known {
		delete(o.inFlight, number)
		o.uncertain = append(o.uncertain, batch)
	}
}

// batchWindow is the size of the deduplication window: a delayed batch whose number is less than batchWindow below the highest
// one received can still be distinguished from a duplicate.
const batchWindow = 64

// receivedBatches records the numbers of the batches received from one incarnation of a sender.
type receivedBatches struct {
	incarnation string
	highest     uint64
	numbers     map[uint64]bool
}

// newReceivedBatches returns an empty record for an incarnation.
func newReceivedBatches(incarnation string) *receivedBatches {
	return &receivedBatches{incarnation: incarnation, numbers: map[uint64]bool{}}
}

// markReceived records a batch and reports whether it is new. A batch below the window can't be distinguished from a
// duplicate and isn't counted as new: losing a count is better than counting it twice.
func (b *receivedBatches) markReceived(number uint64) (isNew bool) {
	if b.numbers[number] || number+batchWindow <= b.highest {
		return false
	}
	b.numbers[number] = true
	if number <= b.highest {
		return true
	}
	b.highest = number
	for received := range b.numbers {
		if received+batchWindow <= b.highest {
			delete(b.numbers, received)
		}
	}
	return true
}
