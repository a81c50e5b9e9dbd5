package bodybudget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts a server that answers with the body of the request.
func startEcho(t *testing.T, budget *Budget, limit int64, timeout time.Duration) string {
	echo := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { _, _ = io.Copy(writer, request.Body) })
	server := httptest.NewServer(Handler(echo, budget, limit, timeout))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// beginPut sends a request whose body lacks its last byte.
func beginPut(t *testing.T, address string, size int) (net.Conn, *bufio.Reader) {
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(connection, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	return connection, bufio.NewReader(connection)
}

// Guards against unfinished bodies that together exceed the memory of a control plane (Fault).
func TestHandler_UnfinishedBodiesStayWithinTheBudget(t *testing.T) {
	const size, limit = 100 << 10, 1 << 20
	budget := New(limit)
	address := startEcho(t, budget, limit, time.Minute)
	for range 30 {
		beginPut(t, address, size)
		usage := budget.Usage()
		assert.Assert(t, usage.Reading+usage.Held <= limit, "usage %+v", usage)
	}
	connection, reader := beginPut(t, address, 10)
	_, _ = io.WriteString(connection, "y")
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "xxxxxxxxxy")
}

func TestHandler_RejectsBodiesThatAreLateOrTooLarge(t *testing.T) {
	budget := New(1 << 20)
	address := startEcho(t, budget, 100, 100*time.Millisecond)
	for size, status := range map[int]int{50: http.StatusRequestTimeout, 200: http.StatusRequestEntityTooLarge} {
		_, reader := beginPut(t, address, size)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status)
		assert.Equal(t, response.Close, true)
	}
	assert.DeepEqual(t, budget.Usage(), Usage{})
}
