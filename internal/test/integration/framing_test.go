package integration

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

// Guards against a listener that is served without the check of messages: it would take bytes of one request for another.
func TestListeners_NeverAnswerARequestHiddenInAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		for name, address := range map[string]string{
			"clients of a data plane":   edgeHost(1) + ":8161",
			"status of a data plane":    edgeHost(1) + ":8167",
			"peers of a data plane":     edgeHost(1) + ":7010",
			"operators":                 coreHost(1) + ":8166",
			"peers of a control plane":  coreHost(1) + ":7000",
			"operators of another node": coreHost(2) + ":8166",
		} {
			for _, form := range httpforms.Requests() {
				expected := 1
				if form.Served && !form.EndsConnection {
					expected = 2
				}
				assert.Equal(t, f.countResponses(address, form), expected, "%s: %s", name, form.Name)
			}
		}
	})
}

// countResponses sends a message in the form, with a further request behind it, and returns how many responses come until the
// connection is closed or stays silent.
func (f *fleet) countResponses(address string, form httpforms.Request) int {
	connection, err := f.network.machine("10.9.9.9").DialFunc(time.Second, time.Minute)(f.t.Context(), "tcp", address)
	assert.NilError(f.t, err)
	defer connection.Close()
	message := httpforms.Message{Method: "POST", Target: "/none/", Host: "shop.example", Body: "prompt"}
	hidden := "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n"
	go func() { _, _ = io.WriteString(connection, form.Raw(message, hidden)) }()
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	reader := bufio.NewReader(connection)
	for count := 0; ; count++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return count
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
