package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/replica"
)

const (
	clientHost = "soak.example"
	// requestTimeout is how long a client waits for a whole response.
	requestTimeout = 20 * time.Second
	// clientPause is the mean pause between two requests of a client.
	clientPause = 40 * time.Millisecond
	// slowSenderShare is the share of requests whose bodies are sent in two parts, up to longestSend apart.
	slowSenderShare = 0.3
	longestSend     = 6 * time.Second
	reconnectPause  = 50 * time.Millisecond
)

var requestCount atomic.Uint64

// route is a route of the configuration, which says what may be repeated.
type route struct {
	name, prefix string
	// repeatable is set for routes whose requests may run more than once.
	repeatable bool
	retryCount int
}

var routes = []route{
	{name: "once", prefix: "/once/", retryCount: 1},
	{name: "resumed", prefix: "/resumed/", repeatable: true, retryCount: 3},
	{name: "idempotent", prefix: "/idempotent/", repeatable: true, retryCount: 2},
}

// routeNamed returns the route with the name.
func routeNamed(name string) route {
	for _, known := range routes {
		if known.name == name {
			return known
		}
	}
	return route{}
}

// headForm is the header of a request, without its values.
const headForm = "POST %sask HTTP/1.1\r\nHost: " + clientHost + "\r\n" + replica.HeaderAttemptID + ": %s\r\n" +
	replica.HeaderModel + ": " + modelName + "\r\n" + replica.HeaderTokenCount + ": 900,%d\r\n" +
	replica.HeaderPromptPrefix + ": 5c1e07a2:800,%x:100\r\n" + replica.HeaderTimeRemaining + ": %d\r\nContent-Length: %d\r\n\r\n"

func headOf(id string, to route, length int) string {
	return fmt.Sprintf(headForm, to.prefix, id, mostEvents, requestCount.Load(), requestTimeout.Milliseconds(), length)
}

// client keeps one connection to a data plane and uses it until the process closes it or is gone; then it opens one to any data plane.
type client struct {
	fleet  *fleet
	random *rand.Rand
	// ignoresClose makes the client go on using a connection after a response that announces its end.
	ignoresClose bool
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		node := c.fleet.edges[c.random.IntN(len(c.fleet.edges))]
		connection, err := net.DialTimeout("tcp", node.address, time.Second)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		c.use(ctx, node, connection)
		connection.Close()
	}
}

// use sends requests on one connection as long as it lasts.
func (c *client) use(ctx context.Context, node *process, connection net.Conn) {
	reader := bufio.NewReader(connection)
	for ctx.Err() == nil {
		sent, mayContinue := c.send(node, connection, reader)
		if sent.SentAt > 0 {
			c.fleet.recorder.record(func(h *history) { h.Requests = append(h.Requests, sent) })
		}
		if !mayContinue {
			return
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(clientPause)))
	}
}

// send sends one request and reads its response. SentAt is 0 if not all of it could be written.
func (c *client) send(node *process, connection net.Conn, reader *bufio.Reader) (sent sentRequest, mayContinue bool) {
	to := routes[c.random.IntN(len(routes))]
	recorder := c.fleet.recorder
	sent = sentRequest{ID: fmt.Sprintf("r%06d", requestCount.Add(1)), Node: node.name, Route: to.name, HeadAt: recorder.now()}
	body := promptOf(sent.ID)
	head := headOf(sent.ID, to, len(body))
	_ = connection.SetDeadline(time.Now().Add(requestTimeout))
	first := body[:len(body)-1]
	if _, err := io.WriteString(connection, head+first); err != nil {
		return sent, false
	}
	if c.random.Float64() < slowSenderShare {
		time.Sleep(time.Duration(c.random.Float64() * float64(longestSend)))
	}
	sentAt := recorder.now()
	if _, err := io.WriteString(connection, body[len(first):]); err != nil {
		return sent, false
	}
	sent.SentAt = sentAt
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		sent.FirstByteAt = recorder.now()
		defer response.Body.Close()
		content, readErr := io.ReadAll(response.Body)
		err = readErr
		sent.Status, sent.Seal, sent.Body = response.StatusCode, response.Header.Get(replica.HeaderSeal), string(content)
		mayContinue = !response.Close || c.ignoresClose
	}
	sent.Complete, sent.EndedAt = err == nil, recorder.now()
	return sent, mayContinue && err == nil
}
