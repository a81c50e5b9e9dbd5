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

// errRetired is the error of a write to a connection that nothing may be written to any more.
var errRetired = errors.New("connection retired: idle for too long, or used by this request before")

// maxRememberedAttempts is how many attempts a connection remembers: a second response to one of them may still be on its
// way.
const maxRememberedAttempts = 16

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

// countConnections makes a dial function's connections countedConnections.
func countConnections(dial peer.DialFunc) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection}, nil
	}
}

// recordAttempt records an attempt and reports whether the connection carried any, and this one, before.
func (c *countedConnection) recordAttempt(id string) (usedBefore, carriedThis bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	usedBefore, carriedThis = len(c.attempts) > 0, slices.Contains(c.attempts, id)
	if len(c.attempts) >= maxRememberedAttempts {
		c.attempts = slices.Delete(c.attempts, 0, 1)
	}
	c.attempts = append(c.attempts, id)
	return usedBefore, carriedThis
}

// abandon lets nothing more be written and closes the connection.
func (c *countedConnection) abandon() {
	c.retired.Store(true)
	_ = c.Conn.Close()
}

// Write counts the bytes before it looks at retired: whoever retires a connection and then finds nothing counted can be sure
// that nothing is written afterwards.
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

// Read counts what arrives.
func (c *countedConnection) Read(target []byte) (int, error) {
	count, err := c.Conn.Read(target)
	c.read.Add(int64(count))
	return count, err
}
