package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/bodybudget"
	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/httpframing"
	"ferryspar/internal/peer"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// script answers one request on a connection to a scriptedReplica. It returns false to close the connection.
type script func(connection net.Conn, request *http.Request) bool

// scriptedReplica is a replica on a loopback socket. It records the requests that it has read completely.
type scriptedReplica struct {
	id       string
	address  string
	lock     sync.Mutex
	requests []*http.Request
	bodies   []string
}

func startReplica(t testing.TB, id string, serve script) *scriptedReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	upstream := &scriptedReplica{id: id, address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go upstream.serve(connection, serve)
		}
	}()
	return upstream
}

func (s *scriptedReplica) serve(connection net.Conn, serve script) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.lock.Lock()
		s.requests, s.bodies = append(s.requests, request), append(s.bodies, string(body))
		s.lock.Unlock()
		if !serve(connection, request) {
			return
		}
	}
}

func (s *scriptedReplica) requestCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.requests)
}

// responseHead returns the status line and the header of a response to the request, with its attempt id and the seal.
func responseHead(status string, request *http.Request, seal string, more ...string) string {
	attempt := request.Header.Get(replica.HeaderAttemptID)
	lines := append([]string{"HTTP/1.1 " + status, replica.HeaderAttemptID + ": " + attempt, replica.HeaderSeal + ": " + seal}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func respondWith(status, seal, body string) script {
	return func(connection net.Conn, request *http.Request) bool {
		fmt.Fprintf(connection, "%s%s", responseHead(status, request, seal, fmt.Sprintf("Content-Length: %d", len(body))), body)
		return true
	}
}

// chunk encodes a chunk of a chunked body.
func chunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

const testDocument = `{"revision":1,"routeTable":[
{"name":"once","hostname":"shop.example","pathPrefix":"/once/","routeType":"non_idempotent",
"timeoutMs":300,"targetLatencyMs":2500,"backend":"scribes","retryCount":2},
{"name":"again","hostname":"shop.example","pathPrefix":"/again/","routeType":"idempotent",
"timeoutMs":300,"targetLatencyMs":2500,"backend":"scribes","retryCount":2},
{"name":"events","hostname":"shop.example","pathPrefix":"/events/","routeType":"streaming","resumable":true,
"timeoutMs":300,"targetLatencyMs":2500,"backend":"scribes","retryCount":2}],
"backends":[{"name":"scribes","maxConns":64,"runtime":{"slots":8,"kvCacheTokens":10000,"modelList":[{"name":"swift"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304}}`

// testServer is an HTTP server with the handler on a loopback socket.
type testServer struct {
	address  string
	handler  *Handler
	snapshot *atomic.Pointer[routing.Snapshot]
}

// serverOptions are options of a testServer. Zero values stand for timeouts of a second, the host's network and ample memory.
type serverOptions struct {
	network    peer.Network
	head, idle time.Duration
	bodyBytes  int64
	// timeoutMs is the timeout of the routes, 300 by default.
	timeoutMs int
}

func startServer(t testing.TB, replicas ...*scriptedReplica) *testServer {
	return startServerWith(t, serverOptions{}, replicas...)
}

func startServerWith(t testing.TB, options serverOptions, replicas ...*scriptedReplica) *testServer {
	if options.network == nil {
		options.network = peer.HostNetwork{}
	}
	timeouts := ConnectionTimeouts{
		Head: cmp.Or(options.head, time.Second),
		Idle: cmp.Or(options.idle, time.Second),
	}
	state := testFleet(t, cmp.Or(options.timeoutMs, 300), replicas)
	var snapshot atomic.Pointer[routing.Snapshot]
	snapshot.Store(state)
	matcher := routing.NewMatcher(routing.DefaultParameters(), "north", time.Now, &snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	go matcher.Run(ctx)
	forwarder := replica.NewForwarder(options.network, time.Now, time.Second, time.Second)
	budgets := NewRetryBudgets(RetryBudgetOptions{Period: time.Second, Ratio: 1, Slack: 100})
	bodies := bodybudget.New(cmp.Or(options.bodyBytes, 64<<20))
	handler := NewHandler(&snapshot, matcher, forwarder, budgets, bodies, time.Now, rand.Float64)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 40 * time.Millisecond,
		IdleTimeout:       40 * time.Millisecond,
		ConnState:         ConnState,
		ConnContext:       ConnContext,
	}
	limited := NewLimitedListener(listener, 100, func() ConnectionTimeouts { return timeouts })
	framing := httpframing.Options{Reject: handler.Reject, MaxHeadBytes: func() int {
		return snapshot.Load().Table.Configuration.Limits.MaxHeaderBytes
	}}
	go func() { _ = httpframing.Serve(server, limited, framing) }()
	t.Cleanup(func() {
		server.Close()
		cancel()
	})
	return &testServer{listener.Addr().String(), handler, &snapshot}
}

// testFleet returns a snapshot with the configuration of testDocument, with another timeout of its routes, and the replicas.
func testFleet(t testing.TB, timeoutMs int, replicas []*scriptedReplica) *routing.Snapshot {
	document := strings.ReplaceAll(testDocument, `"timeoutMs":300`, fmt.Sprintf(`"timeoutMs":%d`, timeoutMs))
	decoded, err := configuration.Decode([]byte(document))
	assert.NilError(t, err)
	snapshot := &routing.Snapshot{
		Table:          configuration.NewTable(decoded, nil),
		DataPlaneCount: 1,
		ListedAt:       time.Now(),
		DrainedZones:   map[string]bool{},
	}
	for index, upstream := range replicas {
		listed := discovery.Replica{
			ID:      upstream.id,
			Backend: "scribes",
			Address: upstream.address,
			Zone:    "north",
			Slots:   8,
			State:   "ready",
			Models:  []discovery.LoadedModel{{Name: "swift"}},
		}
		snapshot.Replicas = append(snapshot.Replicas, routing.NewReplica(index, listed, time.Now(), nil))
	}
	return snapshot
}

// testClient is a connection of a client.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *testClient {
	connection, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	return &testClient{connection, bufio.NewReader(connection)}
}

// send sends a POST request on a new connection and returns the response.
func (s *testServer) send(t *testing.T, raw string) clientResponse {
	return s.connect(t).exchange(http.MethodPost, raw)
}

// clientResponse is a response as read by a client. broken is set if it was incomplete.
type clientResponse struct {
	status int
	header http.Header
	body   string
	broken bool
}

// exchange writes a raw request and reads the response to a request with the method.
func (c *testClient) exchange(method, raw string) clientResponse {
	_, _ = io.WriteString(c, raw)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return clientResponse{broken: true}
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), err != nil}
}

// post returns a raw POST request with additional header lines.
func post(target, attempt string, more ...string) string {
	lines := append([]string{
		"POST " + target + " HTTP/1.1", "Host: shop.example", replica.HeaderAttemptID + ": " + attempt, replica.HeaderModel + ": swift",
		replica.HeaderTokenCount + ": 10,2", "Content-Length: 6",
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\nprompt"
}
