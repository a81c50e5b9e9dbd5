package roster

import (
	"sync"

	"ferryspar/internal/discovery"
)

// sentList is a list that was sent to another node, with its version.
type sentList struct {
	version  string
	replicas []discovery.Replica
}

// delivery is the state of the updates to one node.
type delivery struct {
	// acknowledged is the list that the node is known to hold, or nil if that isn't known.
	acknowledged *sentList
	isSending    bool
	// resend is set if another update was requested while one was being sent.
	resend bool
}

// deliveries tracks the updates to all other nodes, by address. Its lock guards all fields.
type deliveries struct {
	lock      sync.Mutex
	byAddress map[string]*delivery
}

func newDeliveries() deliveries { return deliveries{byAddress: map[string]*delivery{}} }

// begin records that an update is being sent to a node. If another one is being sent already, begin
// schedules a further one after it and returns false.
func (d *deliveries) begin(address string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	current := d.byAddress[address]
	if current == nil {
		current = &delivery{}
		d.byAddress[address] = current
	}
	if current.isSending {
		current.resend = true
		return false
	}
	current.isSending = true
	return true
}

// acknowledgedBy returns the list that a node is known to hold, or nil if that isn't known.
func (d *deliveries) acknowledgedBy(address string) *sentList {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.byAddress[address].acknowledged
}

// end records which list a node acknowledged, if any, after an update was sent to it. It reports whether a
// further update is to be sent.
func (d *deliveries) end(address string, acknowledged *sentList) (resend bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	current := d.byAddress[address]
	resend = current.resend
	*current = delivery{acknowledged: acknowledged, isSending: resend}
	return resend
}
