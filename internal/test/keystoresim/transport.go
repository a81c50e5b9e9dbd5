package keystoresim

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

const (
	// lostMessageTimeout is when the sender of a lost message gives up.
	lostMessageTimeout = 10 * time.Second

	// One of lossPeriod messages is lost where the network is lossy, and one of slowPeriod takes up to maxSlowLatency
	// longer than the others, which take minLatency and up to latencySpread more.
	lossPeriod        = 11
	slowPeriod        = 37
	minLatency        = time.Millisecond
	latencySpread     = 4 * time.Millisecond
	maxSlowLatency    = 900 * time.Millisecond
	retransmitLatency = 200 * time.Millisecond
	// localLatencySpread bounds the time that a message takes between two parts of one process.
	localLatencySpread = 50 * time.Microsecond
	// thawPollInterval is no multiple of anything else, so that no thaw coincides with another event.
	thawPollInterval = time.Millisecond + 7*time.Nanosecond
)

// errLost says that a message or its reply did not arrive.
var errLost = errors.New("lost on the way")

// transport carries the messages of one machine over the simulated network. It implements keystore.Transport.
type transport struct {
	cluster *Cluster
	self    string
}

// Send delivers a message, late, lost or after a thaw, as the cluster's faults have it.
func (t *transport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	content := fmt.Sprint(message.Operation, message.Key, message.Proposal, message.Sequence)
	if address == t.self {
		return t.sendLocally(ctx, content, message)
	}
	type result struct {
		reply keystore.Reply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		reply, err := t.roundTrip(context.WithoutCancel(ctx), address, content, message)
		results <- result{reply: reply, err: err}
	}()
	select {
	case received := <-results:
		return received.reply, received.err
	case <-ctx.Done():
		return keystore.Reply{}, errLost
	}
}

func (t *transport) sendLocally(ctx context.Context, content string, message keystore.Message) (keystore.Reply, error) {
	time.Sleep(time.Duration(t.cluster.drawNumber(t.self, content) % uint64(localLatencySpread)))
	if acceptor := t.cluster.AcceptorOf(t.self); acceptor != nil {
		return acceptor.Call(ctx, message)
	}
	return keystore.Reply{}, errLost
}

// roundTrip takes a message to another machine and its reply back, whether or not the sender still waits.
func (t *transport) roundTrip(
	ctx context.Context, address, content string, message keystore.Message,
) (keystore.Reply, error) {
	acceptor := t.cluster.AcceptorOf(address)
	if t.cluster.CountsMissingReplyAsGrant && (acceptor == nil || !t.cluster.deliver(link{t.self, address}, content)) {
		return keystore.Reply{Granted: true}, nil
	}
	if !t.cluster.deliver(link{t.self, address}, content) {
		return keystore.Reply{}, errLost
	}
	if acceptor = t.cluster.AcceptorOf(address); acceptor == nil {
		return keystore.Reply{}, errLost
	}
	callContext, cancel := context.WithTimeout(ctx, lostMessageTimeout)
	reply, err := acceptor.Call(callContext, message)
	cancel()
	if err != nil || !t.cluster.deliver(link{address, t.self}, content) {
		return keystore.Reply{}, errLost
	}
	return reply, nil
}

// deliver takes the time that content needs over a link, and says whether it arrives.
func (c *Cluster) deliver(over link, content string) bool {
	c.waitWhileFrozen(over.from)
	latency, arrives := c.drawLatency(over, content)
	if !arrives {
		time.Sleep(lostMessageTimeout)
		return false
	}
	time.Sleep(latency)
	c.waitWhileFrozen(over.to)
	return true
}

// drawLatency depends on the seed, the content and how often it was sent over the link.
func (c *Cluster) drawLatency(over link, content string) (latency time.Duration, arrives bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	content = fmt.Sprint(over.from, over.to, content)
	c.sent[content]++
	if c.cutLinks[over] > 0 {
		return 0, false
	}
	drawn := c.drawNumber(content, c.sent[content])
	lost := c.Lossy && drawn%lossPeriod == 0
	if lost && !c.Retransmits {
		return 0, false
	}
	latency = time.Duration(drawn>>8%uint64(latencySpread)) + minLatency
	if lost {
		latency += retransmitLatency
	}
	if drawn%slowPeriod == 0 {
		latency += time.Duration(drawn >> 16 % uint64(maxSlowLatency))
	}
	return latency, true
}

// CanReach says whether a heartbeat sent now gets from one machine to the other.
func (c *Cluster) CanReach(from, to string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	sender, receiver := c.members[from], c.members[to]
	areRunning := sender.process.running && receiver.process.running
	areFrozen := sender.frozen > 0 || receiver.frozen > 0
	return areRunning && !areFrozen && c.cutLinks[link{from, to}] == 0
}

// cut cuts links until the function that it returns is called. Cuts of one link add up.
func (c *Cluster) cut(links []link) (heal func()) {
	add := func(amount int) {
		c.lock.Lock()
		defer c.lock.Unlock()
		for _, cutLink := range links {
			c.cutLinks[cutLink] += amount
		}
	}
	add(1)
	return func() { add(-1) }
}

// linksBetween are the links between two groups of machines, in both directions.
func linksBetween(left, right []string) []link {
	var links []link
	for _, one := range left {
		for _, other := range right {
			links = append(links, link{one, other}, link{other, one})
		}
	}
	return links
}

// Frozen says whether a machine stands still.
func (c *Cluster) Frozen(name string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.members[name].frozen > 0
}

func (c *Cluster) waitWhileFrozen(name string) {
	for c.Frozen(name) {
		time.Sleep(thawPollInterval)
	}
}

// freeze has a machine stand still for a duration.
func (c *Cluster) freeze(name string, duration time.Duration) {
	c.adjustFrozen(name, 1)
	time.Sleep(duration)
	c.adjustFrozen(name, -1)
}

// adjustFrozen adds up faults that overlap.
func (c *Cluster) adjustFrozen(name string, amount int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.members[name].frozen += amount
}

// Carry takes a message of another protocol from one machine to another, late, lost or after a thaw like the keystore's own, and
// says whether it arrives. A lost one takes its time.
func (c *Cluster) Carry(from, to, content string) bool {
	return from == to || c.deliver(link{from, to}, content)
}

// AwaitThaw returns once a machine does not stand still.
func (c *Cluster) AwaitThaw(name string) { c.waitWhileFrozen(name) }
