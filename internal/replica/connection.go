package replica

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

// errRetired is returned by writes to a retired connection.
var errRetired = errors.New("connection retired: idle for too long or already used for this request")

// maxTrackedAttempts is how many recent attempts a connection keeps: a duplicate response to any of them may still arrive.
const maxTrackedAttempts = 16

// countedConnection counts the bytes of a connection to a replica and refuses to write once it is retired.
type countedConnection struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	retired atomic.Bool

	// lock guards attempts.
	lock     sync.Mutex
	attempts []string
}

// countConnections wraps the connections of a dial function in countedConnection.
func countConnections(dial peer.DialFunc) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection}, nil
	}
}

// recordAttempt records an attempt and reports whether the connection carried any attempt before, and whether it carried this
// one.
func (c *countedConnection) recordAttempt(id string) (usedBefore, carriedThis bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	usedBefore, carriedThis = len(c.attempts) > 0, slices.Contains(c.attempts, id)
	if len(c.attempts) >= maxTrackedAttempts {
		c.attempts = slices.Delete(c.attempts, 0, 1)
	}
	c.attempts = append(c.attempts, id)
	return usedBefore, carriedThis
}

// discard retires and closes the connection.
func (c *countedConnection) discard() {
	c.retired.Store(true)
	_ = c.Conn.Close()
}

// Write counts the bytes before it checks retired: a caller that retires a connection and then finds no bytes counted can rely
// on nothing being written afterwards.
func (c *countedConnection) Write(content []byte) (int, error) {
	c.written.Add(int64(len(content)))
	if c.retired.Load() {
		c.written.Add(-int64(len(content)))
		return 0, errRetired
	}
	count, err := c.Conn.Write(content)
	c.written.Add(int64(count - len(content)))
	return count, err
}

// Read reads from the connection and counts the bytes.
func (c *countedConnection) Read(target []byte) (int, error) {
	count, err := c.Conn.Read(target)
	c.read.Add(int64(count))
	return count, err
}
