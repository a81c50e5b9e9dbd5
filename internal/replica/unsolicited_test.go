package replica

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondTwice sends two responses to each request; the second precedes the response to the next request on the connection.
func respondTwice(connection *scriptedConnection) {
	before := ""
	for request := connection.next(); request != nil; request = connection.next() {
		attempt := request.Header.Get(HeaderAttemptID)
		if before != "" {
			connection.respond(before)
		}
		connection.respond(attempt)
		before = attempt
	}
}

func TestForwarder_RejectsUnsolicitedResponse(t *testing.T) {
	server, forwarder := startServer(t, respondTwice), testForwarder()
	verdict, _ := send(t, forwarder, server, testRequest(http.MethodPost, "first", "prompt"))
	assert.Equal(t, verdict, VerdictAnswered)
	verdict, _ = send(t, forwarder, server, testRequest(http.MethodPost, "second", "prompt"))
	assert.Equal(t, verdict, VerdictUnknown)
	verdict, body := send(t, forwarder, server, testRequest(http.MethodPost, "third", "prompt"))
	assert.Equal(t, verdict, VerdictAnswered)
	assert.Equal(t, body, "body for third")
	read := server.received()
	assert.Equal(t, len(read), 3)
	assert.Equal(t, read[0].connection, read[1].connection)
	assert.Assert(t, read[1].connection != read[2].connection, "an out-of-sync connection was reused")
}

// respondOneBehind responds to each request of a connection, after the first, with the response to the previous request.
func respondOneBehind(connection *scriptedConnection) {
	before := ""
	for request := connection.next(); request != nil; request = connection.next() {
		attempt := request.Header.Get(HeaderAttemptID)
		if before == "" {
			before = attempt
		}
		connection.respond(before)
		before = attempt
	}
}

func TestForwarder_DiscardsOutOfSyncConnection(t *testing.T) {
	server, forwarder := startServer(t, respondOneBehind), testForwarder()
	for number, want := range []Verdict{VerdictAnswered, VerdictUnknown, VerdictAnswered, VerdictUnknown, VerdictAnswered} {
		attempt := string(rune('a' + number))
		verdict, body := send(t, forwarder, server, testRequest(http.MethodPost, attempt, "prompt"))
		assert.Equal(t, verdict, want, attempt)
		assert.Assert(t, verdict != VerdictAnswered || body == "body for "+attempt)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHTTPTransport_DeliversUnsolicitedResponseToNextRequest shows the failure without the check of the attempt id: net/http
// delivers the duplicate response to the first request as the response to the second.
func TestHTTPTransport_DeliversUnsolicitedResponseToNextRequest(t *testing.T) {
	server := startServer(t, respondTwice)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	delivered := ""
	for _, attempt := range []string{"first", "second"} {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.address, strings.NewReader("prompt"))
		assert.NilError(t, err)
		request.Header.Set(HeaderAttemptID, attempt)
		response, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		_, _ = response.Body.Read(make([]byte, 100))
		response.Body.Close()
		delivered = response.Header.Get(HeaderAttemptID)
	}
	assert.Equal(t, delivered, "first")
}

func TestForwarder_IgnoresDuplicateRejection(t *testing.T) {
	server := startServer(t, func(connection *scriptedConnection) {
		if connection.next() == nil {
			return
		}
		if connection.number == 1 {
			connection.write("%s", rejection("a"))
			if connection.next() != nil {
				connection.write("%s", rejection("a"))
			}
			return
		}
		connection.respond("a")
	})
	forwarder := testForwarder()
	verdict, _ := send(t, forwarder, server, testRequest(http.MethodPost, "a", "prompt"))
	assert.Equal(t, verdict, VerdictRejected)
	verdict, body := send(t, forwarder, server, testRequest(http.MethodPost, "a", "prompt"))
	assert.Equal(t, verdict, VerdictAnswered)
	assert.Equal(t, body, "body for a")
	read := server.received()
	assert.Equal(t, len(read), 2)
	assert.Assert(t, read[0].connection != read[1].connection)
}

func TestForwarder_IgnoresRejectionWithoutIDOnReusedConnection(t *testing.T) {
	server := startServer(t, func(connection *scriptedConnection) {
		if request := connection.next(); request != nil {
			connection.respond(request.Header.Get(HeaderAttemptID))
		}
		if connection.next() != nil {
			connection.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
		}
	})
	forwarder := testForwarder()
	verdict, _ := send(t, forwarder, server, testRequest(http.MethodPost, "first", "prompt"))
	assert.Equal(t, verdict, VerdictAnswered)
	verdict, _ = send(t, forwarder, server, testRequest(http.MethodPost, "second", "prompt"))
	assert.Equal(t, verdict, VerdictUnknown)
}

func TestAttemptTrace_UnsolicitedResponseStopsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	connection := &countedConnection{Conn: near}
	trace := &attemptTrace{id: "a", connection: connection}
	assert.Assert(t, trace.discardIfUnsolicited())
	_, err := connection.Write([]byte("request"))
	assert.ErrorIs(t, err, errRetired)
	assert.Assert(t, trace.nothingWritten())
}
