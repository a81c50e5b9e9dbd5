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

// connection is a counted connection. One that crosses regions stands still while the partition
// lasts, and breaks once its silence bound has passed.
type connection struct {
	net.Conn
	network        *Network
	crossesRegions bool
	silence        time.Duration
	target         string
	open           *atomic.Int64
	// heard is set on accepted connections, whose requests the other side counts.
	heard bool
	// current is the flow that the bytes count for, chosen by the last request written.
	current atomic.Pointer[flow]
	once    sync.Once
}

// cutPollEvery is how often a waiting write looks whether the partition has ended.
const cutPollEvery = 20 * time.Millisecond

// Write counts what it sends; a write that begins a request chooses the flow.
func (s *connection) Write(content []byte) (int, error) {
	for waited := time.Duration(0); s.crossesRegions && s.network.cut.Load(); waited += cutPollEvery {
		if waited > s.silence {
			s.Close()
			return 0, syscall.ETIMEDOUT
		}
		time.Sleep(cutPollEvery)
	}
	if !s.heard {
		if path, begins := requestPath(content); begins {
			s.current.Store(s.network.counter.flow(path, s.target))
			s.current.Load().messages.Add(1)
		}
	}
	written, err := s.Conn.Write(content)
	if current := s.current.Load(); current != nil {
		current.sent.Add(int64(written))
	}
	return written, err
}

// Read counts what it receives.
func (s *connection) Read(content []byte) (int, error) {
	read, err := s.Conn.Read(content)
	if current := s.current.Load(); current != nil {
		current.received.Add(int64(read))
	}
	return read, err
}

// Close counts the connection out, once.
func (s *connection) Close() error {
	s.once.Do(func() {
		s.open.Add(-1)
		s.network.lock.Lock()
		delete(s.network.connections, s)
		s.network.lock.Unlock()
	})
	return s.Conn.Close()
}

// servingPath is the flow of all requests of clients.
const servingPath = "serving"

// ownPaths are the beginnings of the paths that the daemons ask each other, replicas and the list.
var ownPaths = []string{"/partner/", "/ferryspar/", "/replicas"}

// requestPath tells the path of a request that begins with the content, if one does.
func requestPath(content []byte) (string, bool) {
	method, rest, found := bytes.Cut(content[:min(len(content), 200)], []byte(" "))
	if !found || string(method) != "POST" && string(method) != "GET" || len(rest) == 0 || rest[0] != '/' {
		return "", false
	}
	path := string(rest[:max(bytes.IndexAny(rest, " ?"), 0)])
	for _, prefix := range ownPaths {
		if strings.HasPrefix(path, prefix) {
			return path, true
		}
	}
	return servingPath, true
}
