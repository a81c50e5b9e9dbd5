package hollow

import (
	"sync"
	"sync/atomic"

	"ferryspar/internal/keystore"
)

// flow counts the messages and bytes of one path and one target.
type flow struct{ messages, sent, received atomic.Int64 }

// Flow holds the values of a flow: the number of messages, and the bytes sent and received.
type Flow struct {
	Messages int64 `json:"messages"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Counter counts the messages, connections and disk writes of all nodes of a process. It is safe for concurrent use.
type Counter struct {
	lock                     sync.Mutex
	flows                    map[[2]string]*flow
	dialed, accepted         atomic.Int64
	outbound, inbound        atomic.Int64
	writes, diskBytes, syncs atomic.Int64
}

// NewCounter returns a counter at zero.
func NewCounter() *Counter { return &Counter{flows: map[[2]string]*flow{}} }

// flow returns the flow of a path and target and creates it on first use.
func (c *Counter) flow(path, target string) *flow {
	c.lock.Lock()
	defer c.lock.Unlock()
	key := [2]string{path, target}
	if c.flows[key] == nil {
		c.flows[key] = &flow{}
	}
	return c.flows[key]
}

// read returns the values of all flows, by path and target.
func (c *Counter) read() map[string]map[string]Flow {
	c.lock.Lock()
	defer c.lock.Unlock()
	flows := map[string]map[string]Flow{}
	for key, flow := range c.flows {
		if flows[key[0]] == nil {
			flows[key[0]] = map[string]Flow{}
		}
		flows[key[0]][key[1]] = Flow{flow.messages.Load(), flow.sent.Load(), flow.received.Load()}
	}
	return flows
}

// countedDirectory counts the disk writes and syncs of a control plane.
type countedDirectory struct {
	keystore.Directory
	counter *Counter
}

// Write counts and performs a write.
func (f *countedDirectory) Write(name string, offset int64, content []byte) error {
	f.counter.writes.Add(1)
	f.counter.diskBytes.Add(int64(len(content)))
	return f.Directory.Write(name, offset, content)
}

// Sync counts and performs a sync.
func (f *countedDirectory) Sync(name string) error {
	f.counter.syncs.Add(1)
	return f.Directory.Sync(name)
}
