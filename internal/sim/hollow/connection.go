package hollow

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connection is a connection whose traffic is counted. While the regions are partitioned, writes to a connection between them
// block and fail after the write timeout.
type connection struct {
	net.Conn
	network        *Network
	crossesRegions bool
	writeTimeout   time.Duration
	target         string
	open           *atomic.Int64
	// isAccepted is set on accepted connections, whose requests are counted by the dialing side.
	isAccepted bool
	// currentFlow is the flow to which bytes are attributed, that of the last request written.
	currentFlow atomic.Pointer[flow]
	once        sync.Once
}

// partitionPollInterval is how often a blocked write checks whether the partition has ended.
const partitionPollInterval = 20 * time.Millisecond

// Write writes and counts content. A write that starts a request selects the current flow.
func (c *connection) Write(content []byte) (int, error) {
	for waited := time.Duration(0); c.crossesRegions && c.network.partitioned.Load(); waited += partitionPollInterval {
		if waited > c.writeTimeout {
			c.Close()
			return 0, syscall.ETIMEDOUT
		}
		time.Sleep(partitionPollInterval)
	}
	if !c.isAccepted {
		if path, begins := requestPath(content); begins {
			c.currentFlow.Store(c.network.counter.flow(path, c.target))
			c.currentFlow.Load().messages.Add(1)
		}
	}
	written, err := c.Conn.Write(content)
	if current := c.currentFlow.Load(); current != nil {
		current.sent.Add(int64(written))
	}
	return written, err
}

// Read reads and counts the bytes received.
func (c *connection) Read(content []byte) (int, error) {
	read, err := c.Conn.Read(content)
	if current := c.currentFlow.Load(); current != nil {
		current.received.Add(int64(read))
	}
	return read, err
}

// Close closes the connection and counts it as closed once.
func (c *connection) Close() error {
	c.once.Do(func() {
		c.open.Add(-1)
		c.network.lock.Lock()
		delete(c.network.connections, c)
		c.network.lock.Unlock()
	})
	return c.Conn.Close()
}

// servingPath is the path under which all requests of clients are counted.
const servingPath = "serving"

// internalPaths are the path prefixes of the requests of nodes to each other, to replicas and to the platform list.
var internalPaths = []string{"/partner/", "/ferryspar/", "/replicas"}

// requestPath returns the path under which a request is counted, and false if content is not the start of a request.
func requestPath(content []byte) (string, bool) {
	method, rest, found := bytes.Cut(content[:min(len(content), 200)], []byte(" "))
	if !found || string(method) != "POST" && string(method) != "GET" || len(rest) == 0 || rest[0] != '/' {
		return "", false
	}
	path := string(rest[:max(bytes.IndexAny(rest, " ?"), 0)])
	for _, prefix := range internalPaths {
		if strings.HasPrefix(path, prefix) {
			return path, true
		}
	}
	return servingPath, true
}
