package integration

import (
	"net"
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

const networkPoll = 10 * time.Millisecond

// socketBuffer keeps the bytes that a sender has written while the link is held or the receiver is frozen.
type socketBuffer struct {
	lock       sync.Mutex
	chunks     [][]byte
	delivering bool
	closing    bool
	discarded  bool
}

// freeze stops a machine as SIGSTOP would: it reads and writes nothing, and bytes for it wait in its sockets.
// Its timers go on, since fake time cannot stop single goroutines.
func (n *memoryNetwork) freeze(host string, frozen bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if thawed, known := n.frozen[host]; known {
		close(thawed)
		delete(n.frozen, host)
	}
	if frozen {
		n.frozen[host] = make(chan struct{})
	}
}

// hold cuts the path from one machine to another; bytes wait for the heal, as long as the sender does not reset.
func (n *memoryNetwork) delay(from, to string, held bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.holds[[2]string{from, to}] = held
}

func (n *memoryNetwork) delayBoth(left, right string, held bool) {
	n.delay(left, right, held)
	n.delay(right, left, held)
}

func (n *memoryNetwork) healAll() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, thawed := range n.frozen {
		close(thawed)
	}
	clear(n.frozen)
	clear(n.holds)
	clear(n.cuts)
	clear(n.dark)
}

func (n *memoryNetwork) isFrozen(host string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.frozen[host] != nil
}

func (n *memoryNetwork) waitThawed(host string) {
	n.lock.Lock()
	thawed := n.frozen[host]
	n.lock.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// unreachable says whether a new connection cannot come up: its handshake needs both directions.
// The kernel of a frozen machine still completes handshakes.
func (n *memoryNetwork) unreachable(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	there, back := [2]string{from, to}, [2]string{to, from}
	return n.holds[there] || n.holds[back] || n.cuts[back]
}

func (n *memoryNetwork) linkHeld(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.holds[[2]string{from, to}]
}

func (s *memoryConnection) waits() bool {
	return s.network.linkHeld(s.from, s.to) || s.network.isFrozen(s.to) || s.network.isFrozen(s.from)
}

func (s *memoryConnection) hold(content []byte) (bool, error) {
	waits := s.waits()
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	if s.buffer.closing || s.buffer.discarded {
		return false, net.ErrClosed
	}
	if !waits && !s.buffer.delivering {
		return false, nil
	}
	s.buffer.chunks = append(s.buffer.chunks, append([]byte(nil), content...))
	s.startDelivery()
	return true, nil
}

func (s *memoryConnection) startDelivery() {
	if !s.buffer.delivering {
		s.buffer.delivering = true
		go s.deliver()
	}
}

// deliver hands the kept bytes over once the path is open again, and then the close, if there was one.
func (s *memoryConnection) deliver() {
	held := time.Duration(0)
	for {
		for s.waits() && !s.isDiscarded() {
			time.Sleep(networkPoll)
			if s.network.linkHeld(s.from, s.to) {
				held += networkPoll
			}
			if held > s.silence {
				s.giveUp()
			}
		}
		chunk, more := s.nextChunk()
		if !more {
			return
		}
		if _, err := s.Conn.Write(chunk); err != nil {
			_ = s.reset()
			return
		}
	}
}

func (s *memoryConnection) isDiscarded() bool {
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	return s.buffer.discarded
}

// giveUp is what TCP_USER_TIMEOUT does: the bytes are lost; the other end learns of it after the heal.
func (s *memoryConnection) giveUp() {
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	s.buffer.chunks, s.buffer.closing = nil, true
	_ = s.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (s *memoryConnection) nextChunk() ([]byte, bool) {
	s.buffer.lock.Lock()
	if len(s.buffer.chunks) > 0 && !s.buffer.discarded {
		chunk := s.buffer.chunks[0]
		s.buffer.chunks = s.buffer.chunks[1:]
		s.buffer.lock.Unlock()
		return chunk, true
	}
	s.buffer.delivering = false
	closing := s.buffer.closing
	s.buffer.lock.Unlock()
	if closing {
		_ = s.reset()
	}
	return nil, false
}

func (s *memoryConnection) closeAfterDelivery() bool {
	waits := s.waits()
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	if s.buffer.discarded || !waits && !s.buffer.delivering {
		return false
	}
	s.buffer.closing = true
	_ = s.Conn.SetReadDeadline(time.Unix(1, 0))
	s.startDelivery()
	return true
}

func (s *memoryConnection) discard() {
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	s.buffer.discarded, s.buffer.chunks = true, nil
}

func (s *memoryConnection) Read(content []byte) (int, error) {
	s.network.waitThawed(s.from)
	amount, err := s.Conn.Read(content)
	s.network.waitThawed(s.from)
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	if err != nil && (s.buffer.closing || s.buffer.discarded) {
		return amount, net.ErrClosed
	}
	return amount, err
}

// SetReadDeadline leaves a closed connection unreadable.
func (s *memoryConnection) SetReadDeadline(deadline time.Time) error {
	s.buffer.lock.Lock()
	defer s.buffer.lock.Unlock()
	if s.buffer.closing {
		return net.ErrClosed
	}
	return s.Conn.SetReadDeadline(deadline)
}

// freezableDirectory holds up the disk of a frozen machine.
type freezableDirectory struct {
	keystore.Directory
	network *memoryNetwork
	host    string
}

func (g freezableDirectory) Write(name string, offset int64, content []byte) error {
	g.network.waitThawed(g.host)
	return g.Directory.Write(name, offset, content)
}

func (g freezableDirectory) Sync(name string) error {
	g.network.waitThawed(g.host)
	return g.Directory.Sync(name)
}
