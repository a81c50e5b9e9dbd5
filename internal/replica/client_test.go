package replica

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

func sendOrder(t *testing.T, client *Client, server *scriptedServer, model string) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return client.SendOrder(ctx, server.address, "i-1", Order{Operation: OperationLoad, Model: model, LeaseHolder: "node", Fence: 7})
}

// orderCount returns how many orders for the model the server has read.
func (s *scriptedServer) orderCount(model string) int {
	count := 0
	for _, read := range s.received() {
		var order Order
		if json.Unmarshal([]byte(read.body), &order) == nil && order.Model == model {
			count++
		}
	}
	return count
}

func TestClient_SendsOrderAtMostOnce(t *testing.T) {
	redirect := "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		fault  func(connection *scriptedConnection)
		status int
	}{
		"reset before reading": {func(connection *scriptedConnection) { connection.reset() }, 0},
		"close before reading": {func(connection *scriptedConnection) { connection.Close() }, 0},
		"reset after reading":  {func(connection *scriptedConnection) { connection.next(); connection.reset() }, 0},
		"close after reading":  {func(connection *scriptedConnection) { connection.next(); connection.Close() }, 0},
		"silence":              {func(connection *scriptedConnection) { connection.next(); connection.next() }, 0},
		"garbage":              {func(connection *scriptedConnection) { connection.next(); connection.write("garbage\r\n\r\n") }, 0},
		"redirect": {func(connection *scriptedConnection) {
			connection.next()
			connection.write("%s", redirect)
			connection.next()
		}, 302},
		"truncated response": {func(connection *scriptedConnection) {
			connection.next()
			connection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n{")
		}, 202},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, test.fault)
			status, err := sendOrder(t, NewClient(peer.HostNetwork{}), server, "swift")
			assert.Assert(t, err != nil || status == test.status, "status %d", status)
			assert.Assert(t, len(server.received()) <= 1, "read %d times", len(server.received()))
			assert.Assert(t, test.status != http.StatusAccepted || err != nil, "a truncated response must be an error")
		})
	}
}

func TestClient_ErrNotSentOnlyForUnsentOrder(t *testing.T) {
	dead := startServer(t, func(*scriptedConnection) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead.address = listener.Addr().String()
	listener.Close()
	_, err = sendOrder(t, NewClient(peer.HostNetwork{}), dead, "swift")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	for name, fault := range map[string]func(connection *scriptedConnection){
		"read, then reset":   func(connection *scriptedConnection) { connection.next(); connection.reset() },
		"read, then silence": func(connection *scriptedConnection) { connection.next(); connection.next() },
	} {
		_, err := sendOrder(t, NewClient(peer.HostNetwork{}), startServer(t, fault), "swift")
		assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%s: %v", name, err)
	}
}

func TestClient_OrderUsesNewConnection(t *testing.T) {
	server := startServer(t, func(connection *scriptedConnection) {
		for request := connection.next(); request != nil; request = connection.next() {
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"phase\":\"unified\",\"sequence\":1}")
		}
	})
	client := NewClient(peer.HostNetwork{})
	report := func() {
		_, err := client.FetchReport(t.Context(), server.address, "i-1")
		assert.NilError(t, err)
	}
	report()
	for _, model := range []string{"swift", "rare"} {
		_, err := sendOrder(t, client, server, model)
		assert.NilError(t, err)
		report()
		assert.Equal(t, server.orderCount(model), 1)
	}
	var connections []int
	for _, read := range server.received() {
		connections = append(connections, read.connection)
	}
	assert.DeepEqual(t, connections, []int{1, 2, 2, 3, 3})
}

// acceptFirstOrderTwice sends two acceptances for the first order that the server reads, and rejects all later orders.
func acceptFirstOrderTwice(connection *scriptedConnection) {
	const accepted, conflict = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	first := connection.number == 1
	for connection.next() != nil {
		if first {
			connection.write(accepted)
			if connection.next() != nil {
				connection.write(accepted)
			}
			first = false
		}
		connection.write(conflict)
	}
}

func TestClient_DuplicateResponseDoesNotReachNextOrder(t *testing.T) {
	server := startServer(t, acceptFirstOrderTwice)
	client := NewClient(peer.HostNetwork{})
	status, err := sendOrder(t, client, server, "swift")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusAccepted)
	status, err = sendOrder(t, client, server, "rare")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, server.orderCount("swift"), 1)
	assert.Equal(t, server.orderCount("rare"), 1)
}

// TestClient_SharedConnectionMixesOrderResponses shows the failure that the test above guards against: on a shared connection
// the duplicate response to the first order is taken for the response to the second.
func TestClient_SharedConnectionMixesOrderResponses(t *testing.T) {
	server := startServer(t, acceptFirstOrderTwice)
	transport := peer.NewTransport(peer.HostNetwork{}, time.Second, time.Second, 1)
	defer transport.CloseIdleConnections()
	shared := &Client{client: peer.NewHTTPClient(transport)}
	status := 0
	for _, model := range []string{"swift", "rare"} {
		body, err := json.Marshal(Order{Operation: OperationLoad, Model: model, LeaseHolder: "node", Fence: 7})
		assert.NilError(t, err)
		status, _, err = shared.call(t.Context(), OrderEndpoint, server.address, "i-1", body)
		assert.NilError(t, err)
	}
	assert.Equal(t, status, http.StatusAccepted)
}

func TestClient_RejectsInvalidReport(t *testing.T) {
	for name, response := range map[string]string{
		"truncated":               "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"sequence\":2",
		"not JSON":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwords",
		"rejection":               "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
		"phase missing":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"response to other order": "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(connection *scriptedConnection) {
				connection.next()
				connection.write("%s", response)
			})
			_, err := NewClient(peer.HostNetwork{}).FetchReport(t.Context(), server.address, "i-1")
			assert.Assert(t, err != nil)
		})
	}
}
