package integration

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// socketBuffer keeps the bytes that a sender has written while the link is delayed or a machine is frozen.
type socketBuffer struct {
	lock       sync.Mutex
	chunks     [][]byte
	delivering bool
	closing    bool
	discarded  bool
}

// isStalled reports whether written bytes have to wait in the socket buffer.
func (c *memoryConnection) isStalled() bool {
	return c.network.isDelayed(c.from, c.to) || c.network.isFrozen(c.to) || c.network.isFrozen(c.from)
}

// bufferIfStalled buffers the content if it has to wait, or if earlier bytes are still being delivered.
func (c *memoryConnection) bufferIfStalled(content []byte) (bool, error) {
	stalled := c.isStalled()
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	if c.buffer.closing || c.buffer.discarded {
		return false, net.ErrClosed
	}
	if !stalled && !c.buffer.delivering {
		return false, nil
	}
	c.buffer.chunks = append(c.buffer.chunks, append([]byte(nil), content...))
	c.startDelivery()
	return true, nil
}

func (c *memoryConnection) startDelivery() {
	if !c.buffer.delivering {
		c.buffer.delivering = true
		go c.deliver()
	}
}

// deliver writes the buffered bytes once the path is open again, and then closes if Close was called.
func (c *memoryConnection) deliver() {
	delayed := time.Duration(0)
	for {
		for c.isStalled() && !c.isDiscarded() {
			time.Sleep(networkPoll)
			if c.network.isDelayed(c.from, c.to) {
				delayed += networkPoll
			}
			if delayed > c.writeTimeout {
				c.timeOut()
			}
		}
		chunk, more := c.nextChunk()
		if !more {
			return
		}
		if _, err := c.Conn.Write(chunk); err != nil {
			_ = c.reset()
			return
		}
	}
}

func (c *memoryConnection) isDiscarded() bool {
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	return c.buffer.discarded
}

// timeOut acts as TCP_USER_TIMEOUT does: buffered bytes are lost, and the peer notices only after the path is healed.
func (c *memoryConnection) timeOut() {
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	c.buffer.chunks, c.buffer.closing = nil, true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *memoryConnection) nextChunk() ([]byte, bool) {
	c.buffer.lock.Lock()
	if len(c.buffer.chunks) > 0 && !c.buffer.discarded {
		chunk := c.buffer.chunks[0]
		c.buffer.chunks = c.buffer.chunks[1:]
		c.buffer.lock.Unlock()
		return chunk, true
	}
	c.buffer.delivering = false
	closing := c.buffer.closing
	c.buffer.lock.Unlock()
	if closing {
		_ = c.reset()
	}
	return nil, false
}

// closeAfterDelivery defers the close until buffered bytes are delivered; it returns false if there are none.
func (c *memoryConnection) closeAfterDelivery() bool {
	stalled := c.isStalled()
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	if c.buffer.discarded || !stalled && !c.buffer.delivering {
		return false
	}
	c.buffer.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.startDelivery()
	return true
}

func (c *memoryConnection) discard() {
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	c.buffer.discarded, c.buffer.chunks = true, nil
}

func (c *memoryConnection) Read(content []byte) (int, error) {
	c.network.waitThawed(c.from)
	amount, err := c.Conn.Read(content)
	c.network.waitThawed(c.from)
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	if err != nil && (c.buffer.closing || c.buffer.discarded) {
		return amount, net.ErrClosed
	}
	return amount, err
}

// SetReadDeadline keeps a closed connection unreadable.
func (c *memoryConnection) SetReadDeadline(deadline time.Time) error {
	c.buffer.lock.Lock()
	defer c.buffer.lock.Unlock()
	if c.buffer.closing {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(deadline)
}

// memoryConnection is one end of a connection. Writes fail after writeTimeout without progress.
type memoryConnection struct {
	net.Conn
	network      *memoryNetwork
	from         string
	to           string
	writeTimeout time.Duration
	lastUsed     time.Time
	buffer       socketBuffer
}

func (c *memoryConnection) Write(content []byte) (int, error) {
	waited := time.Duration(0)
	for c.network.isBlocked(c.from, c.to) {
		time.Sleep(20 * time.Millisecond)
		if waited += 20 * time.Millisecond; waited > c.writeTimeout {
			c.Close()
			return 0, syscall.ETIMEDOUT
		}
	}
	if c.isDropped() {
		c.Close()
		return len(content), nil
	}
	c.network.waitThawed(c.from)
	if buffered, err := c.bufferIfStalled(content); buffered || err != nil {
		return len(content), err
	}
	c.network.processMessage(c.to)
	return c.Conn.Write(content)
}

// isDropped reports whether the path has silently dropped this connection for being idle.
func (c *memoryConnection) isDropped() bool {
	c.network.lock.Lock()
	defer c.network.lock.Unlock()
	limit, idle := c.network.idleDropAfter[c.to], time.Since(c.lastUsed)
	dropped := limit > 0 && !c.lastUsed.IsZero() && idle > limit
	c.lastUsed = time.Now()
	return dropped
}

func (c *memoryConnection) Close() error {
	if c.closeAfterDelivery() {
		return nil
	}
	return c.reset()
}

// reset closes at once and discards buffered bytes, as a TCP reset does.
func (c *memoryConnection) reset() error {
	c.discard()
	c.network.lock.Lock()
	delete(c.network.connections, c)
	c.network.lock.Unlock()
	return c.Conn.Close()
}
