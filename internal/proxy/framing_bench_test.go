package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkHandler_Request measures a request of a client through the data plane to a replica and back, over loopback connections.
func BenchmarkHandler_Request(b *testing.B) {
	upstream := startReplica(b, "i-1", respondWith("200 OK", "seal-1", "words"))
	server := startServer(b, upstream)
	connection, err := net.Dial("tcp", server.address)
	assert.NilError(b, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		_, _ = io.WriteString(connection, post("/once/", fmt.Sprint(number)))
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		assert.Equal(b, response.StatusCode, http.StatusOK)
	}
}
