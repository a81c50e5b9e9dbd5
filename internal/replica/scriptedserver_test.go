package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// receivedRequest is a request that a scriptedServer read, with the number of its connection.
type receivedRequest struct {
	request    *http.Request
	body       string
	connection int
}

// scriptedServer is a server on a loopback socket whose connections run a test's function. It records each request that was read
// completely.
type scriptedServer struct {
	address string
	lock    sync.Mutex
	read    []receivedRequest
}

// target returns the server as the routing target i-1.
func (s *scriptedServer) target(t *testing.T) routing.Target {
	t.Helper()
	listed := discovery.Replica{ID: "i-1", Backend: "scribes", Address: s.address, Phase: discovery.PhaseDecode}
	replica := routing.NewReplica(0, listed, time.Now(), nil)
	snapshot := &routing.Snapshot{Replicas: []*routing.Replica{replica}}
	target, err := snapshot.Admit(&routing.Request{Backend: "scribes"}, replica)
	assert.NilError(t, err)
	return target
}

// scriptedConnection is a connection to a scriptedServer, numbered from 1.
type scriptedConnection struct {
	net.Conn
	server *scriptedServer
	number int
	reader *bufio.Reader
}

func startServer(t *testing.T, serve func(connection *scriptedConnection)) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &scriptedServer{address: listener.Addr().String()}
	var open sync.WaitGroup
	ended := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		close(ended)
		open.Wait()
	})
	go func() {
		for number := 1; ; number++ {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			connection := &scriptedConnection{accepted, server, number, bufio.NewReader(accepted)}
			open.Go(func() {
				stop := make(chan struct{})
				defer close(stop)
				defer accepted.Close()
				go func() {
					select {
					case <-ended:
						accepted.Close()
					case <-stop:
					}
				}()
				serve(connection)
			})
		}
	}()
	return server
}

// next reads a complete request. It returns nil if the connection ends first.
func (c *scriptedConnection) next() *http.Request {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil
	}
	c.server.lock.Lock()
	defer c.server.lock.Unlock()
	c.server.read = append(c.server.read, receivedRequest{request, string(body), c.number})
	return request
}

// readAll reads requests until the connection ends.
func (c *scriptedConnection) readAll() {
	for request := c.next(); request != nil; {
		request = c.next()
	}
}

// reset closes the connection with a TCP reset.
func (c *scriptedConnection) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (c *scriptedConnection) write(format string, arguments ...any) {
	fmt.Fprintf(c, format, arguments...)
}

// respond writes a valid response to the attempt.
func (c *scriptedConnection) respond(attempt string) { c.write("%s", validResponse(attempt)) }

func validResponse(attempt string) string {
	body := "body for " + attempt
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttemptID, attempt, HeaderSeal, attempt, len(body), body)
}

func rejection(attempt string) string {
	const format = "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n"
	return fmt.Sprintf(format, HeaderAttemptID, attempt, HeaderNotExecuted)
}

func (s *scriptedServer) received() []receivedRequest {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]receivedRequest(nil), s.read...)
}

// readCount returns how many requests of the attempt were read completely.
func (s *scriptedServer) readCount(attempt string) int {
	count := 0
	for _, read := range s.received() {
		if read.request.Header.Get(HeaderAttemptID) == attempt {
			count++
		}
	}
	return count
}

func testForwarder() *Forwarder {
	return NewForwarder(peer.HostNetwork{}, time.Now, time.Second, time.Second)
}

func testRequest(method, attempt, body string) UpstreamRequest {
	return UpstreamRequest{
		Method:        method,
		URI:           "/path",
		Host:          "shop.example",
		Header:        http.Header{HeaderAttemptID: {attempt}},
		Body:          []byte(body),
		AttemptID:     attempt,
		Deadline:      time.Now().Add(time.Minute),
		Backend:       "scribes",
		NonIdempotent: true,
	}
}

const testTimeout = 400 * time.Millisecond

// send forwards a request and returns the verdict and, with VerdictAnswered, the response's body.
func send(t *testing.T, forwarder *Forwarder, server *scriptedServer, upstream UpstreamRequest) (Verdict, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	response, verdict := forwarder.Send(ctx, server.target(t), upstream)
	if verdict != VerdictAnswered {
		return verdict, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return verdict, string(body)
}
