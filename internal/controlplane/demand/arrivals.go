package demand

import "ferryspar/internal/peer"

// arrivalBatch is arrivals and prefill times by model key that are sent together. Its number stays the same however
// often it is sent; 0 stands for no batch.
type arrivalBatch struct {
	number uint64
	models map[string]peer.ModelLoad
}

// arrivalOutbox keeps arrivals until the placement lease's holder is known to have received them. The aggregator's lock
// guards it.
type arrivalOutbox struct {
	// pending holds the arrivals by model key that aren't in a batch yet.
	pending map[string]peer.ModelLoad
	// lastNumber is that of the newest batch.
	lastNumber uint64
	// inFlight holds the batches being sent by number, uncertain those to be sent again, the oldest first.
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

// nextResend returns the oldest batch that may not have been received, as in flight again, if there is one.
func (o *arrivalOutbox) nextResend() (batch arrivalBatch, found bool) {
	if len(o.uncertain) == 0 {
		return arrivalBatch{}, false
	}
	batch = o.uncertain[0]
	o.uncertain = o.uncertain[1:]
	o.inFlight[batch.number] = batch
	return batch, true
}

// nextBatch puts the pending arrivals of the included models into a new batch; of number 0 if there are none.
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

// markDelivered forgets a batch in flight that was received.
func (o *arrivalOutbox) markDelivered(number uint64) { delete(o.inFlight, number) }

// markUncertain has a batch in flight sent again, as it may not have been received.
func (o *arrivalOutbox) markUncertain(number uint64) {
	if batch, known := o.inFlight[number]; known {
		delete(o.inFlight, number)
		o.uncertain = append(o.uncertain, batch)
	}
}

// batchWindow is how many numbers below the highest a delayed batch may be and still be distinguished from one received before.
const batchWindow = 64

// receivedBatches are the numbers of the batches received of one incarnation of a sender.
type receivedBatches struct {
	incarnation string
	highest     uint64
	numbers     map[uint64]bool
}

// newReceivedBatches returns the record of an incarnation of which no batch was received.
func newReceivedBatches(incarnation string) *receivedBatches {
	return &receivedBatches{incarnation: incarnation, numbers: map[uint64]bool{}}
}

// markReceived records a batch and says whether it is new. One below the window can't be distinguished from one received
// before and doesn't count as new: a lost count is better than a doubled one.
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
