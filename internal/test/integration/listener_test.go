package integration

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestListener_SlowRequestHeadGets408(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		dial := f.network.machine("10.9.9.9").DialFunc(time.Second, time.Minute)
		connection, err := dial(t.Context(), "tcp", edgeHost(1)+":8161")
		assert.NilError(t, err)
		defer connection.Close()
		message := "POST /quick/ HTTP/1.1\r\nHost: shop.example\r\n" +
			"Ferryspar-Attempt-Id: a\r\nFerryspar-Model: swift\r\nContent-Length: 1\r\n\r\nx"
		for range 2 {
			_, err = connection.Write([]byte(message))
			assert.NilError(t, err)
			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, http.StatusOK)
			content, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(content), allEvents())
			time.Sleep(2 * time.Second)
		}
		_, err = connection.Write([]byte("POST /quick/ HTTP/1.1\r\nHost: shop"))
		assert.NilError(t, err)
		began := time.Now()
		answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, http.StatusRequestTimeout)
		assert.Assert(t, time.Since(began) >= 2*time.Second && time.Since(began) <= 4*time.Second, "%s", time.Since(began))
		assert.Equal(t, len(standIn.executed()), 2)
	})
}

func TestListener_ClosesIdleConnectionSilentlyAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		connection, err := f.network.machine("10.9.9.9").DialFunc(time.Second, time.Minute)(t.Context(), "tcp", edgeHost(1)+":8161")
		assert.NilError(t, err)
		defer connection.Close()
		reader := bufio.NewReader(connection)
		_, err = connection.Write([]byte("GET /unknown/ HTTP/1.1\r\nHost: shop.example\r\nFerryspar-Attempt-Id: a\r\n\r\n"))
		assert.NilError(t, err)
		answer, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		began := time.Now()
		left, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, len(left), 0)
		assert.Assert(t, time.Since(began) > 14*time.Second && time.Since(began) < 17*time.Second, "%s", time.Since(began))
	})
}
